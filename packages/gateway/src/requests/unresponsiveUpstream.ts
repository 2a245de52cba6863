import { recordUnresponsive } from '../placement/coldUpstreams.ts';
import type { GatewayContext } from '../context.ts';
import type { AttemptProgress, AttemptResult } from './attemptProgress.ts';
import { AttemptEnd } from './attemptProgress.ts';
import { UpstreamFailure } from './ports.ts';

/**
 * Records an upstream that an attempt found unresponsive: no connection could be opened, or nothing arrived on any of its
 * connections for the time after which a silent upstream is given up. A connection that breaks alone says nothing.
 */
export function recordIfUnresponsive(
  context: GatewayContext,
  progress: AttemptProgress,
  { end, failure }: AttemptResult,
): void {
  const { loop, options } = context;
  if (
    failure !== UpstreamFailure.ConnectionRefused &&
    loop.nowMs() - loop.stalledUntilMs < options.silentUpstreamMs
  ) {
    // Timeouts that expired while this process stood still say nothing about the upstream.
    return;
  }
  const { upstream } = progress.placement;
  switch (end) {
    case AttemptEnd.NotSent:
      if (failure !== undefined) {
        recordUnresponsive(context, upstream);
      }
      return;
    case AttemptEnd.Broken:
    case AttemptEnd.DeadlineExceeded:
      if (failure === undefined && wasSilent(context, progress)) {
        recordUnresponsive(context, upstream);
      }
      return;
    case AttemptEnd.Answered:
    case AttemptEnd.Refused:
    case AttemptEnd.ErrorResponse:
    case AttemptEnd.Withdrawn:
    case AttemptEnd.CallerDisconnected:
    case AttemptEnd.RouterStopping:
  }
}

function wasSilent(
  { loop, options }: GatewayContext,
  { head, placement, sentAtMs }: AttemptProgress,
): boolean {
  return (
    head === undefined &&
    sentAtMs !== undefined &&
    loop.nowMs() - Math.max(sentAtMs, placement.upstream.lastProgressAtMs) >= options.silentUpstreamMs
  );
}
