import type { VmRow } from './membership.ts';
import type { PeerMessage, PeerSender } from './messages.ts';
import type { EngineModels, EngineOrderOutcome } from './orders.ts';
import type { CallerMetadata, CallerRequest, EngineChunk, EngineLoad } from './requests.ts';
import type { TableOutcome } from './table.ts';

/** The time of a step. Both clocks are read together, so that a process pause is visible in one of them. */
export interface ClockReading {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

export enum EventKind {
  CallerArrived = 'callerArrived',
  CallerGone = 'callerGone',
  TableReply = 'tableReply',
  MembershipReply = 'membershipReply',
  PeerReceived = 'peerReceived',
  UpstreamStarted = 'upstreamStarted',
  UpstreamChunk = 'upstreamChunk',
  UpstreamEnded = 'upstreamEnded',
  UpstreamFailed = 'upstreamFailed',
  UpstreamProbed = 'upstreamProbed',
  EngineOrdered = 'engineOrdered',
  EngineModels = 'engineModels',
  AdminArrived = 'adminArrived',
  StopRequested = 'stopRequested',
  Tick = 'tick',
}

/** An event of one upstream attempt, matched to its request by `attemptId`. */
export type AttemptEvent =
  | { readonly kind: EventKind.UpstreamStarted; readonly attemptId: string; readonly status: number }
  | { readonly kind: EventKind.UpstreamChunk; readonly attemptId: string; readonly chunk: EngineChunk }
  | {
      readonly kind: EventKind.UpstreamEnded;
      readonly attemptId: string;
      /** Response status and body of a plain service; the body is empty for engine streams. */
      readonly status: number;
      readonly body: string;
      readonly contentType: string | undefined;
    }
  | {
      readonly kind: EventKind.UpstreamFailed;
      readonly attemptId: string;
      /** False only if no byte of the request can have reached the upstream. */
      readonly mayHaveReachedUpstream: boolean;
      readonly detail: string;
    };

/** An operator's request to the administration port. */
export interface AdminRequest {
  readonly method: string;
  readonly path: string;
  readonly query: Readonly<Record<string, string>>;
  readonly body: string;
  readonly keySha256: string | undefined;
}

export type CoreEvent =
  | AttemptEvent
  | {
      readonly kind: EventKind.CallerArrived;
      readonly exchangeId: string;
      readonly request: CallerRequest;
      readonly metadata: CallerMetadata;
    }
  | { readonly kind: EventKind.CallerGone; readonly exchangeId: string }
  | { readonly kind: EventKind.TableReply; readonly callId: string; readonly outcome: TableOutcome }
  /** `rows` is undefined if the list could not be read. */
  | {
      readonly kind: EventKind.MembershipReply;
      readonly callId: string;
      readonly rows: readonly VmRow[] | undefined;
    }
  | { readonly kind: EventKind.PeerReceived; readonly sender: PeerSender; readonly message: PeerMessage }
  /** `load` is undefined if the upstream could not be reached. */
  | {
      readonly kind: EventKind.UpstreamProbed;
      readonly callId: string;
      readonly address: string;
      readonly load: EngineLoad | undefined;
    }
  | { readonly kind: EventKind.EngineOrdered; readonly callId: string; readonly outcome: EngineOrderOutcome }
  /** `models` is undefined if the engine could not be reached. */
  | {
      readonly kind: EventKind.EngineModels;
      readonly callId: string;
      readonly models: EngineModels | undefined;
    }
  | { readonly kind: EventKind.AdminArrived; readonly exchangeId: string; readonly request: AdminRequest }
  | { readonly kind: EventKind.StopRequested }
  | { readonly kind: EventKind.Tick };
