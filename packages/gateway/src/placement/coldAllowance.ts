import { hash32, isAmongFirst } from '@pimentostall/core';

/** What a cold engine tolerates, from the configuration of its service and the bounds of the deployment. */
export interface ColdLimits {
  /** Requests per second that a cold engine tolerates. */
  readonly requestsPerSecond: number;
  /** Factor of `requestsPerSecond` that all routers together may reach in any one second. */
  readonly overshoot: number;
  /** Requests that all routers together may send in any one second beyond that. */
  readonly slack: number;
}

/** Whether this router may send requests to a cold engine, and how often. */
export type AllowanceShare =
  | { readonly kind: 'none' }
  | {
      readonly kind: 'interval';
      /** Least time between two requests of this router. */
      readonly intervalMs: number;
    };

/** Time over which the bound is counted. */
const WINDOW_MS = 1_000;
/** Requests that are sent one after the other may arrive closer together by this time. */
const ARRIVAL_JITTER_MS = 100;
/**
 * Groups of routers with different views of the membership whose shares must fit into the bound together: while routers
 * join or are cut off from the store, some know of them and others do not.
 */
const VIEW_COUNT = 2;

/** Number of requests per second that the routers with one view of the membership send to a cold engine at most. */
export function requestsPerWindow({ requestsPerSecond, overshoot, slack }: ColdLimits): number {
  const bound = Math.floor(requestsPerSecond * overshoot + slack);
  return Math.min(Math.max(1, Math.round(requestsPerSecond)), Math.floor(bound / VIEW_COUNT));
}

/**
 * Divides the requests that a cold engine tolerates among a few routers, chosen by rendezvous hashing. Answers the load
 * of engines that start while traffic flows: no router knows what the others send, but all compute the same division
 * from the membership alone. A router that is chosen among many is also chosen among fewer of them, so that routers that
 * omit others at different times do not add to the sum.
 *
 * @param otherRouterIds the other routers that may send requests
 */
export function chooseShare(
  upstreamId: string,
  routerId: string,
  otherRouterIds: readonly string[],
  limits: ColdLimits,
): AllowanceShare {
  const total = requestsPerWindow(limits);
  const senderCount = Math.min(total, otherRouterIds.length + 1);
  if (senderCount < 1 || !isAmongFirst(`cold|${upstreamId}`, routerId, otherRouterIds, senderCount)) {
    return { kind: 'none' };
  }
  const requestsOfRouter = Math.floor(total / senderCount);
  return {
    kind: 'interval',
    intervalMs: Math.max(
      (WINDOW_MS + ARRIVAL_JITTER_MS) / requestsOfRouter,
      (WINDOW_MS * senderCount) / limits.requestsPerSecond,
    ),
  };
}

/** When the rows of the routers were read; monotonic times. */
export interface MembershipReads {
  /** Undefined before the first reading. */
  firstAtMs: number | undefined;
  /** Time at which the newest reading was requested. */
  lastAtMs: number;
}

/** Time after the first reading in which the other routers have seen this one: two heartbeats and a reading. */
const SETTLE_MS = 2_500;
/** Age from which a reading says too little. Shorter than the silence after which others omit a router (2.6 s). */
const MAX_READ_AGE_MS = 2_500;

/**
 * Whether this router's view of the membership is recent enough to send requests to cold engines: not right after its
 * start, and not without a reading since the store's last outage.
 */
export function isMembershipSettled(
  { firstAtMs, lastAtMs }: MembershipReads,
  storeRecoveredAtMs: number | undefined,
  nowMs: number,
): boolean {
  return (
    firstAtMs !== undefined &&
    nowMs - firstAtMs >= SETTLE_MS &&
    nowMs - lastAtMs <= MAX_READ_AGE_MS &&
    lastAtMs >= (storeRecoveredAtMs ?? -Infinity)
  );
}

/**
 * Times the requests of this router to one cold engine. At most one of them is unanswered, so that a connection that
 * stalls does not deliver several at once.
 */
export class ColdPace {
  private lastSentAtMs: number;
  private isPending = false;

  /** @param key of this router and the engine; spreads the first requests of the routers over a window */
  constructor(key: string, nowMs: number) {
    this.lastSentAtMs = nowMs - WINDOW_MS * (hash32(key) / 2 ** 32);
  }

  maySend(share: AllowanceShare, nowMs: number): boolean {
    return !this.isPending && nowMs >= this.nextAtMs(share);
  }

  /** Monotonic time of the next request; Infinity for a router without a share. */
  nextAtMs(share: AllowanceShare): number {
    switch (share.kind) {
      case 'none':
        return Infinity;
      case 'interval':
        return this.lastSentAtMs + share.intervalMs;
    }
  }

  /** Reserves the next request. It counts as sent now, and again when it is sent or ends without that. */
  begin(nowMs: number): void {
    this.isPending = true;
    this.lastSentAtMs = nowMs;
  }

  recordSent(nowMs: number): void {
    this.lastSentAtMs = nowMs;
  }

  /** Records the response to the request, or that it ended without one. */
  end(): void {
    this.isPending = false;
  }
}
