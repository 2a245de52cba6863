import type { RandomSource } from '@pimentostall/core';
import type { GatewayOptions } from '../options.ts';
import { RESUME_SPREAD_MS } from '../placement/recordRetryAfter.ts';
import { LocalReplyReason } from './localReplies.ts';

/** Fraction of the delay by which it varies in either direction. */
const SPREAD_FRACTION = 0.3;

export type RetryDelayOptions = Pick<GatewayOptions, 'retryAfterMs' | 'otherRouterRetryMs'>;

/**
 * Returns the time after which a rejected request is likely to be served. Answers the load of callers that were refused
 * together and would return together: they return spread over a time, and at once where another router can serve them.
 */
export function retryDelayMs(
  reason: LocalReplyReason,
  { retryAfterMs, otherRouterRetryMs }: RetryDelayOptions,
  random: RandomSource,
): number {
  switch (reason) {
    case LocalReplyReason.Draining:
      return otherRouterRetryMs;
    case LocalReplyReason.NoConfiguration:
    case LocalReplyReason.UnknownRoute:
    case LocalReplyReason.UnknownKey:
    case LocalReplyReason.MissingRequestId:
    case LocalReplyReason.BudgetExhausted:
    case LocalReplyReason.ShareShort:
    case LocalReplyReason.NoUpstream:
    case LocalReplyReason.ZonesEvacuated:
    case LocalReplyReason.NoAllowedRegion:
    case LocalReplyReason.UpstreamsBusy:
    case LocalReplyReason.UpstreamRefused:
    case LocalReplyReason.UpstreamFailed:
    case LocalReplyReason.PartQuarantined:
    case LocalReplyReason.DeadlineExceeded:
      return retryAfterMs * (1 + SPREAD_FRACTION * (2 * random() - 1));
  }
}

/** Part of a caller's remaining time that it spends on waiting at most. */
const MAX_WAIT_FRACTION = 1 / 3;

export interface ResumeDelay {
  /** Time until the first upstream takes requests again. */
  readonly resumesInMs: number;
  /** Time that the caller has left. */
  readonly remainingMs: number;
}

/**
 * Returns the time after which a request that no upstream takes now is sent again. Answers the load of engines that ask
 * for time in a burst: their callers return when the first engine takes requests, spread over a time, and not so late
 * that no time is left for the answer.
 */
export function resumeDelayMs({ resumesInMs, remainingMs }: ResumeDelay, random: RandomSource): number {
  // Another router, which the caller may reach, may resume later than this one.
  const spreadMs = resumesInMs * (1 + SPREAD_FRACTION * random()) + RESUME_SPREAD_MS;
  return Math.max(0, Math.min(spreadMs, remainingMs * MAX_WAIT_FRACTION));
}
