import type { PeerMessage, PeerSender, StoredConfiguration, UsageRecord } from '@pimentostall/core';
import { PeerMessageKind } from '@pimentostall/core';
import { pimentostall as wire } from '../generated/peer.js';
import { recordStates, routerStates, sectionNames } from './wireValues.ts';

type Envelope = wire.PeerEnvelope.$Properties;
type Heartbeat = Extract<PeerMessage, { readonly kind: PeerMessageKind.Heartbeat }>;

function recordToWire(record: UsageRecord): wire.UsageRecord.$Properties {
  return { ...record, state: recordStates.encode(record.state) };
}

function configurationToWire(configuration: StoredConfiguration): wire.ConfigurationReply.$Properties {
  const sections = configuration.sections.map((section) => ({
    ...section,
    name: sectionNames.encode(section.name),
  }));
  return { revision: configuration.revision, sections };
}

function heartbeatToWire(heartbeat: Heartbeat): wire.Heartbeat.$Properties {
  return {
    state: routerStates.encode(heartbeat.state),
    callerAddress: heartbeat.callerAddress,
    configurationRevision: heartbeat.configurationRevision,
    openRequestCount: heartbeat.openRequestCount,
    shareLevels: [...heartbeat.shareLevels],
  };
}

function messageToWire(message: PeerMessage): Envelope {
  switch (message.kind) {
    case PeerMessageKind.Heartbeat:
      return { heartbeat: heartbeatToWire(message) };
    case PeerMessageKind.RecordCopy:
      return { recordCopy: { record: recordToWire(message.record) } };
    case PeerMessageKind.RecordCopyAck:
      return {
        recordCopyAck: { requestId: message.requestId, state: recordStates.encode(message.state) },
      };
    case PeerMessageKind.RecordResolved:
      return { recordResolved: { requestIds: [...message.requestIds] } };
    case PeerMessageKind.RecordQuery:
      return { recordQuery: { queryId: message.queryId, requestId: message.requestId } };
    case PeerMessageKind.RecordQueryReply: {
      const { queryId, records, running } = message;
      return { recordQueryReply: { queryId, records: records.map(recordToWire), running } };
    }
    case PeerMessageKind.OpenRecordsRequest:
      return { openRecordsRequest: { queryId: message.queryId, incarnationId: message.incarnationId } };
    case PeerMessageKind.OpenRecordsReply:
      return { openRecordsReply: { queryId: message.queryId, records: message.records.map(recordToWire) } };
    case PeerMessageKind.ConfigurationRequest:
      return { configurationRequest: { knownRevision: message.knownRevision } };
    case PeerMessageKind.ConfigurationReply:
      return { configurationReply: configurationToWire(message.configuration) };
  }
}

/** Encodes a message with its sender. */
export function encodeEnvelope(sender: PeerSender, message: PeerMessage): Buffer {
  const envelope = { sender: { ...sender }, ...messageToWire(message) };
  return Buffer.from(wire.PeerEnvelope.encode(envelope).finish());
}
