import type { GatewayContext } from '../context.ts';
import { LogLevel } from '../observability/log.ts';
import type { UpstreamView } from './upstreamView.ts';

/** The part of the gateway context that `recordLeaving` uses. */
export type LeavingContext = Pick<GatewayContext, 'log' | 'metrics'> & {
  readonly board: Pick<GatewayContext['board'], 'leavingUpstreams' | 'upstreams'>;
};

/**
 * Records that an upstream said that it is leaving. What runs there goes on.
 *
 * @param source the kind of response that said so
 */
export function recordLeaving(
  { board, log, metrics }: LeavingContext,
  view: UpstreamView,
  source: string,
): void {
  if (!board.leavingUpstreams.add(view.entry)) {
    return;
  }
  view.leaving = true;
  const current = board.upstreams.get(view.entry.upstreamId);
  if (current !== undefined && board.leavingUpstreams.has(current.entry)) {
    // Its row was deleted and has come back while the response was on its way.
    current.leaving = true;
  }
  metrics.count('pimentostall_upstreams_unavailable_total', 'reason="leaving"');
  log(LogLevel.Info, 'upstream is leaving', {
    upstream: view.entry.upstreamId,
    service: view.entry.serviceName,
    startTimeMs: view.entry.startTimeMs,
    registeredState: view.entry.state,
    source,
    inFlight: view.inFlight,
  });
  view.reportLeaving();
}
