import type { RandomSource } from '@pimentostall/core';
import type { GatewayOptions } from '../options.ts';
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
    case LocalReplyReason.UpstreamRefused:
    case LocalReplyReason.UpstreamFailed:
    case LocalReplyReason.PartQuarantined:
    case LocalReplyReason.DeadlineExceeded:
      return retryAfterMs * (1 + SPREAD_FRACTION * (2 * random() - 1));
  }
}
