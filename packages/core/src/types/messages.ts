import type { StoredConfiguration } from './configuration.ts';

export enum RouterState {
  Starting = 'starting',
  Live = 'live',
  Draining = 'draining',
}

export enum PeerMessageKind {
  Heartbeat = 'heartbeat',
  RecordCopy = 'recordCopy',
  RecordCopyAck = 'recordCopyAck',
  RecordResolved = 'recordResolved',
  RecordQuery = 'recordQuery',
  RecordQueryReply = 'recordQueryReply',
  OpenRecordsRequest = 'openRecordsRequest',
  OpenRecordsReply = 'openRecordsReply',
  ConfigurationRequest = 'configurationRequest',
  ConfigurationReply = 'configurationReply',
}

export enum RecordState {
  /** Money is reserved; the request may be running upstream. */
  Reserved = 'reserved',
  /** The usage is known but not yet settled in the table. */
  Used = 'used',
}

/** The reservation or usage of a request. Peers hold copies, so that it survives the loss of the router. */
export interface UsageRecord {
  readonly requestId: string;
  readonly organisationId: string;
  /** Incarnation of the router whose share funds the request. */
  readonly incarnationId: string;
  readonly state: RecordState;
  /** Worst-case cost while `Reserved`, actual cost once `Used`. */
  readonly amountMicros: number;
  /** Address of the engine that holds the stream, if known. */
  readonly upstreamAddress: string | undefined;
}

export interface ShareLevel {
  readonly organisationId: string;
  readonly availableMicros: number;
}

/** Identifies the sender of a peer message. */
export interface PeerSender {
  readonly routerId: string;
  readonly vmId: string;
  readonly incarnationId: string;
  readonly region: string;
  readonly availabilityZone: string;
  readonly peerAddress: string;
}

export type PeerMessage =
  | {
      readonly kind: PeerMessageKind.Heartbeat;
      readonly state: RouterState;
      readonly callerAddress: string;
      readonly configurationRevision: number;
      readonly openRequestCount: number;
      readonly shareLevels: readonly ShareLevel[];
    }
  | { readonly kind: PeerMessageKind.RecordCopy; readonly record: UsageRecord }
  | { readonly kind: PeerMessageKind.RecordCopyAck; readonly requestId: string; readonly state: RecordState }
  | { readonly kind: PeerMessageKind.RecordResolved; readonly requestIds: readonly string[] }
  | { readonly kind: PeerMessageKind.RecordQuery; readonly queryId: string; readonly requestId: string }
  | {
      readonly kind: PeerMessageKind.RecordQueryReply;
      readonly queryId: string;
      readonly records: readonly UsageRecord[];
      /** True while the sender is serving this request itself. */
      readonly running: boolean;
    }
  | {
      readonly kind: PeerMessageKind.OpenRecordsRequest;
      readonly queryId: string;
      readonly incarnationId: string;
    }
  | {
      readonly kind: PeerMessageKind.OpenRecordsReply;
      readonly queryId: string;
      readonly records: readonly UsageRecord[];
    }
  | { readonly kind: PeerMessageKind.ConfigurationRequest; readonly knownRevision: number }
  | { readonly kind: PeerMessageKind.ConfigurationReply; readonly configuration: StoredConfiguration };
