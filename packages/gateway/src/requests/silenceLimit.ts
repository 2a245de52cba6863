import type { GatewayOptions } from '../options.ts';
import type { Route } from '../types.ts';
import { RouteKind } from '../types.ts';

/** A queue or a long prompt can delay the first event of a sound stream by this multiple of the target latency. */
const FIRST_EVENT_TARGETS = 1.5;
/** A sound stream that was preempted can pause for this multiple of the target gap. */
const EVENT_GAP_TARGETS = 2;
/** Longest additional time while the engine answers other routers: this request alone may have been lost. */
const MAX_QUEUE_MS = 1_500;
/** A plain response that takes longer than this multiple of its target leaves time for one more upstream. */
const PLAIN_TARGETS = 2;

export interface AttemptSilence {
  readonly route: Pick<Route, 'kind' | 'targetLatencyMs' | 'targetGapMs'>;
  /** True once an event of the stream has reached the caller. */
  readonly hasEvents: boolean;
  /** Monotonic time at which the request was sent or its response last made progress. */
  readonly lastProgressAtMs: number;
  /** Monotonic time at which any response of the same upstream last made progress. */
  readonly upstreamProgressAtMs: number;
  /** Monotonic time at which the upstream last answered a prompt of another router; -Infinity if not known. */
  readonly remoteProgressAtMs: number;
}

export type SilenceOptions = Pick<GatewayOptions, 'silentUpstreamMs' | 'silentConnectionMs'>;

/**
 * Returns the monotonic time from which a silent upstream is given up for another one, if the request may be repeated.
 * Answers the load of upstreams that stop without closing their connections, beside others that are only slow: the
 * limits follow the targets of the route, since cutting a sound stream costs its prompt once more.
 */
export function silenceLimitAtMs(
  { route, hasEvents, lastProgressAtMs, upstreamProgressAtMs, remoteProgressAtMs }: AttemptSilence,
  { silentUpstreamMs, silentConnectionMs }: SilenceOptions,
): number {
  const { kind, targetLatencyMs, targetGapMs = 0 } = route;
  if (kind !== RouteKind.Streaming) {
    const targetMs = targetLatencyMs ?? silentUpstreamMs;
    return lastProgressAtMs + Math.min(PLAIN_TARGETS * targetMs, silentUpstreamMs);
  }
  if (hasEvents) {
    return lastProgressAtMs + Math.max(silentConnectionMs, EVENT_GAP_TARGETS * targetGapMs);
  }
  const limitMs = Math.max(silentUpstreamMs, FIRST_EVENT_TARGETS * (targetLatencyMs ?? 0));
  const limitAtMs = Math.max(lastProgressAtMs, upstreamProgressAtMs) + limitMs;
  // The prompts of other routers may be ahead of this one.
  return Math.max(limitAtMs, Math.min(remoteProgressAtMs + limitMs, limitAtMs + MAX_QUEUE_MS));
}
