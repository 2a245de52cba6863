import type { PeerMessage, PeerSender, StoredConfiguration, UsageRecord } from '@pimentostall/core';
import { PeerMessageKind } from '@pimentostall/core';
import { pimentostall as wire } from '../generated/peer.js';
import { decodeSafeInteger, recordStates, routerStates, sectionNames } from './wireValues.ts';

export interface DecodedEnvelope {
  readonly sender: PeerSender;
  readonly message: PeerMessage;
}

function senderFromWire(sender: wire.PeerSender.$Properties | null | undefined): PeerSender {
  if (!sender?.routerId) {
    throw new Error('A peer message has no sender.');
  }
  return {
    routerId: sender.routerId,
    vmId: sender.vmId ?? '',
    incarnationId: sender.incarnationId ?? '',
    region: sender.region ?? '',
    availabilityZone: sender.availabilityZone ?? '',
    peerAddress: sender.peerAddress ?? '',
  };
}

function recordFromWire(record: wire.UsageRecord.$Properties | null | undefined): UsageRecord {
  return {
    requestId: record?.requestId ?? '',
    organisationId: record?.organisationId ?? '',
    incarnationId: record?.incarnationId ?? '',
    state: recordStates.decode(record?.state),
    amountMicros: decodeSafeInteger(record?.amountMicros),
    upstreamAddress: record?.upstreamAddress ?? undefined,
  };
}

function heartbeatFromWire(heartbeat: wire.Heartbeat.$Properties): PeerMessage {
  return {
    kind: PeerMessageKind.Heartbeat,
    state: routerStates.decode(heartbeat.state),
    callerAddress: heartbeat.callerAddress ?? '',
    configurationRevision: decodeSafeInteger(heartbeat.configurationRevision),
    openRequestCount: decodeSafeInteger(heartbeat.openRequestCount),
    shareLevels: (heartbeat.shareLevels ?? []).map((level) => ({
      organisationId: level.organisationId ?? '',
      availableMicros: decodeSafeInteger(level.availableMicros),
    })),
  };
}

function configurationFromWire(reply: wire.ConfigurationReply.$Properties): StoredConfiguration {
  return {
    revision: decodeSafeInteger(reply.revision),
    sections: (reply.sections ?? []).map((section) => ({
      name: sectionNames.decode(section.name),
      version: decodeSafeInteger(section.version),
      text: section.text ?? '',
      changedBy: section.changedBy ?? '',
      changedAtMs: decodeSafeInteger(section.changedAtMs),
      changeId: section.changeId ?? '',
    })),
  };
}

function recordMessageFromWire(envelope: wire.PeerEnvelope): PeerMessage | undefined {
  const { recordCopy, recordCopyAck, recordResolved, recordQuery, recordQueryReply } = envelope;
  if (recordCopy) {
    return { kind: PeerMessageKind.RecordCopy, record: recordFromWire(recordCopy.record) };
  }
  if (recordCopyAck) {
    const state = recordStates.decode(recordCopyAck.state);
    return { kind: PeerMessageKind.RecordCopyAck, requestId: recordCopyAck.requestId ?? '', state };
  }
  if (recordResolved) {
    return { kind: PeerMessageKind.RecordResolved, requestIds: recordResolved.requestIds ?? [] };
  }
  if (recordQuery) {
    const { queryId, requestId } = recordQuery;
    return { kind: PeerMessageKind.RecordQuery, queryId: queryId ?? '', requestId: requestId ?? '' };
  }
  if (recordQueryReply) {
    return {
      kind: PeerMessageKind.RecordQueryReply,
      queryId: recordQueryReply.queryId ?? '',
      records: (recordQueryReply.records ?? []).map(recordFromWire),
      running: recordQueryReply.running ?? false,
    };
  }
  return undefined;
}

function otherMessageFromWire(envelope: wire.PeerEnvelope): PeerMessage | undefined {
  const { heartbeat, openRecordsRequest, openRecordsReply } = envelope;
  if (heartbeat) {
    return heartbeatFromWire(heartbeat);
  }
  if (openRecordsRequest) {
    return {
      kind: PeerMessageKind.OpenRecordsRequest,
      queryId: openRecordsRequest.queryId ?? '',
      incarnationId: openRecordsRequest.incarnationId ?? '',
    };
  }
  if (openRecordsReply) {
    return {
      kind: PeerMessageKind.OpenRecordsReply,
      queryId: openRecordsReply.queryId ?? '',
      records: (openRecordsReply.records ?? []).map(recordFromWire),
    };
  }
  if (envelope.configurationRequest) {
    const knownRevision = decodeSafeInteger(envelope.configurationRequest.knownRevision);
    return { kind: PeerMessageKind.ConfigurationRequest, knownRevision };
  }
  if (envelope.configurationReply) {
    const configuration = configurationFromWire(envelope.configurationReply);
    return { kind: PeerMessageKind.ConfigurationReply, configuration };
  }
  return undefined;
}

/** Decodes an envelope. Throws if it is malformed or its message is of an unknown kind. */
export function decodeEnvelope(bytes: Uint8Array): DecodedEnvelope {
  const envelope = wire.PeerEnvelope.decode(bytes) as wire.PeerEnvelope;
  const message = recordMessageFromWire(envelope) ?? otherMessageFromWire(envelope);
  if (message === undefined) {
    throw new Error('A peer message has no known kind.');
  }
  return { sender: senderFromWire(envelope.sender), message };
}
