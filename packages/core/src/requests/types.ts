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

/** A caller that waits for the answer of a running request. */
export interface AttachedCaller {
  readonly exchangeId: string;
  /** Server-sent events; otherwise one JSON body at the end. */
  readonly stream: boolean;
  started: boolean;
}

/** A request that this router serves now. */
export interface RunningRequest {
  /** Identity as the caller knows it. */
  readonly requestId: string;
  /** Identity towards upstreams and peers, which do not know organisations. */
  readonly scopedRequestId: string;
  readonly organisationId: string;
  readonly classId: string;
  readonly classSection: ClassSection;
  readonly bodyHash: string;
  readonly hasIdempotencyKey: boolean;
  readonly startedAtMs: number;
  readonly deadlineMs: number;
  /** Wall-clock seconds of the start, as chat completions state it. */
  readonly createdSeconds: number;
  /** By exchange identifier; callers with the same identity share one run. */
  readonly callers: Map<string, AttachedCaller>;
  /** Departures of any attached caller. */
  readonly departures: Channel<EventOf<EventKind.CallerGone>>;
  readonly log: StreamLog;
  readonly attempts: AttemptRecord[];
}

/** What this router remembers of a request that it answered. */
export interface AnsweredRequest {
  readonly bodyHash: string;
  readonly upstreamAddress: string;
  readonly answeredAtMs: number;
}

/**
 * The money functions that requests use. They are a field of the state so that the request part is driven by a
 * fake ledger where only requests are under test.
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
  /** By organisation and request identity joined with a slash. */
  readonly running: Map<string, RunningRequest>;
  /** Answered requests with a caller's own identity, oldest first; same keys as `running`. */
  readonly answered: Map<string, AnsweredRequest>;
  readonly queue: QueueState;
  readonly retryBudget: RetryBudget;
  money: MoneyFunctions;
}
