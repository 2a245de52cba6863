import type { GatewayContext } from '../context.ts';
import type { AttemptProgress, AttemptResult } from './attemptProgress.ts';
import { AttemptEnd, incompleteBytes } from './attemptProgress.ts';
import type { ServedRequest } from './servedRequest.ts';
import { isRetryable } from './servedRequest.ts';
import { silenceLimitAtMs } from './silenceLimit.ts';
import { tryReserveSwitch } from './wayBack.ts';

/** Plain responses up to this size are buffered until complete, so that a broken one can be retried. */
export const MAX_HELD_RESPONSE_BYTES = 65_536;

/** Monotonic time at which `checkTimeouts` must be called if nothing happens before. */
export function nextTimeoutAtMs(
  context: GatewayContext,
  request: ServedRequest,
  progress: AttemptProgress,
  mayRetry: boolean,
): number {
  const deadlineMs = request.deadlineAtMs + context.options.deadlineGraceMs;
  if (!mayRetry || !isRetryable(request)) {
    return deadlineMs;
  }
  return Math.min(deadlineMs, inactivityTimeoutAtMs(context, request, progress));
}

/** Monotonic time at which a retryable request is retried elsewhere if its response makes no progress. */
function inactivityTimeoutAtMs(
  context: GatewayContext,
  request: ServedRequest,
  progress: AttemptProgress,
): number {
  const limitAtMs = silenceLimitAtMs(
    {
      route: request.route,
      hasEvents: progress.head !== undefined && request.deliveredEvents > 0,
      lastProgressAtMs: progress.lastProgressAtMs,
      upstreamProgressAtMs: progress.placement.upstream.lastProgressAtMs,
      remoteProgressAtMs: progress.placement.upstream.remoteLoad.progressAtMs,
    },
    context.options,
  );
  return Math.max(limitAtMs, progress.retryNotBeforeMs);
}

/** Ends an attempt whose deadline is exceeded or whose upstream has been inactive for too long. */
export function checkTimeouts(
  context: GatewayContext,
  request: ServedRequest,
  progress: AttemptProgress,
  mayRetry: boolean,
): AttemptResult | undefined {
  const nowMs = context.loop.nowMs();
  if (nowMs >= request.deadlineAtMs + context.options.deadlineGraceMs) {
    progress.call.cancel();
    if (incompleteBytes(progress) > MAX_HELD_RESPONSE_BYTES) {
      // On a narrow link, the deadline ends an endless response before its limit does.
      progress.placement.upstream.recordFailure(nowMs);
    }
    return { end: AttemptEnd.DeadlineExceeded, detail: 'deadline exceeded before the response was complete' };
  }
  if (mayRetry && isRetryable(request) && nowMs >= inactivityTimeoutAtMs(context, request, progress)) {
    if (!tryReserveSwitch(context, request, progress.placement.upstream)) {
      // The upstream may only be slow, and nothing is gained by giving it up without another attempt.
      progress.retryNotBeforeMs = nowMs + context.options.silentUpstreamMs;
      return undefined;
    }
    progress.call.cancel();
    if (request.wayBack === undefined) {
      progress.placement.upstream.recordFailure(nowMs);
    }
    return { end: AttemptEnd.Broken, detail: 'upstream inactive for too long', retryReserved: true };
  }
  return undefined;
}
