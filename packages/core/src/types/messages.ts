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
  /** The usage is known and not yet settled in the table. */
  Used = 'used',
}

/** What a router knows of a request's money. Peers hold copies so that it outlives the router. */
export interface UsageRecord {
  readonly requestId: string;
  readonly organisationId: string;
  /** Incarnation of the router whose share the money comes from. */
  readonly incarnationId: string;
  readonly state: RecordState;
  /** Worst case while `Reserved`, real usage once `Used`. */
  readonly amountMicros: number;
  /** Address of the engine that holds the stream, if one is known. */
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
      /** True while the sender itself serves a request with this identity. */
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
