import type { EventOf } from '../blackboard.ts';
import type {
  adoptUsage,
  completeReservation,
  findRecords,
  replicateReservation,
  releaseReservation,
} from '../money/reservations.ts';
import type { reserve } from '../money/reserve.ts';
import type { Channel } from '../scheduler/channel.ts';
import type { ClassSection } from '../types/configuration.ts';
import type { EventKind } from '../types/events.ts';
import type { QueueState } from './classQueue.ts';
import type { RetryBudget } from './retryBudget.ts';
import type { StreamLog } from './streamLog.ts';
import type { AttemptRecord } from './verdict.ts';

/** A client exchange that is waiting for the response of a running request. */
export interface AttachedCaller {
  readonly exchangeId: string;
  /** True for server-sent events; false for a single JSON body at the end. */
  readonly stream: boolean;
  started: boolean;
}

/** A request that this router is currently serving. */
export interface RunningRequest {
  /** Identifier that the caller sees: its Idempotency-Key, or a generated one. */
  readonly requestId: string;
  /** Identifier sent to upstreams and peers. It includes the organisation, which they do not know. */
  readonly scopedRequestId: string;
  readonly organisationId: string;
  readonly classId: string;
  readonly classSection: ClassSection;
  readonly bodyHash: string;
  readonly hasIdempotencyKey: boolean;
  readonly startedAtMs: number;
  readonly deadlineMs: number;
  /** Wall-clock start time in seconds, for the `created` field of chat completions. */
  readonly createdSeconds: number;
  /** Keyed by exchange identifier. Callers that send the same request identifier share one execution. */
  readonly callers: Map<string, AttachedCaller>;
  /** Disconnect events of the attached callers. */
  readonly disconnects: Channel<EventOf<EventKind.CallerGone>>;
  readonly log: StreamLog;
  readonly attempts: AttemptRecord[];
}

/** Entry kept for an answered request so that a retry is neither executed nor billed again. */
export interface AnsweredRequest {
  readonly bodyHash: string;
  readonly upstreamAddress: string;
  readonly answeredAtMs: number;
}

/**
 * The accounting functions that request handling uses. They are part of the state so that tests can inject a fake
 * ledger.
 */
export interface MoneyFunctions {
  readonly reserve: typeof reserve;
  readonly replicateReservation: typeof replicateReservation;
  readonly completeReservation: typeof completeReservation;
  readonly releaseReservation: typeof releaseReservation;
  readonly findRecords: typeof findRecords;
  readonly adoptUsage: typeof adoptUsage;
}

export interface RequestState {
  /** Keyed by `requestKey`. */
  readonly running: Map<string, RunningRequest>;
  /** Answered requests that carried an Idempotency-Key, oldest first. Keyed by `requestKey`. */
  readonly answered: Map<string, AnsweredRequest>;
  readonly queue: QueueState;
  readonly retryBudget: RetryBudget;
  money: MoneyFunctions;
}
