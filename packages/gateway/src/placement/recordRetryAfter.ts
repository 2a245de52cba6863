import type { GatewayContext } from '../context.ts';
import { LogLevel } from '../observability/log.ts';
import type { UpstreamRetryAfter } from '../requests/ports.ts';
import { RetryAfterKind } from '../requests/ports.ts';
import type { UpstreamView } from './upstreamView.ts';

/** Routers that were turned away together come back spread over this time. */
export const RESUME_SPREAD_MS = 200;

/** The part of the gateway context that `recordRetryAfter` uses. */
export type RetryAfterContext = Pick<GatewayContext, 'log' | 'metrics' | 'random'> & {
  readonly loop: Pick<GatewayContext['loop'], 'nowMs'>;
};

/**
 * Records that an upstream wants no requests for a time. Returns false if it did not say so. Of several responses, the
 * latest end counts.
 */
export function recordRetryAfter(
  { log, loop, metrics, random }: RetryAfterContext,
  view: UpstreamView,
  retryAfter: UpstreamRetryAfter,
): boolean {
  const { upstreamId } = view.entry;
  switch (retryAfter.kind) {
    case RetryAfterKind.Absent:
      return false;
    case RetryAfterKind.Invalid:
      log(LogLevel.Warn, 'upstream asks for time in an invalid form; ignoring it', {
        upstream: upstreamId,
        value: retryAfter.value,
      });
      return false;
    case RetryAfterKind.Delay: {
      const { delayMs, isBounded } = retryAfter;
      const wasUsable = loop.nowMs() >= view.resumesAtMs;
      const isLater = view.postpone(loop.nowMs() + delayMs + RESUME_SPREAD_MS * random());
      if (wasUsable || isBounded) {
        metrics.count('pimentostall_upstreams_unavailable_total', 'reason="asked-for-time"');
        log(isBounded ? LogLevel.Warn : LogLevel.Info, 'upstream asks for time', {
          upstream: upstreamId,
          delayMs: Math.round(delayMs),
          isBounded,
          inFlight: view.inFlight,
        });
      }
      if (isLater) {
        view.withdrawUnsentAttempts();
      }
      return true;
    }
  }
}
