import { IncarnationStatus } from '../blackboard.ts';
import type { CoreContext } from '../context.ts';
import { logWarn } from '../log.ts';
import type { ClockReading } from '../types/events.ts';

/** Stops dispatch if either clock shows that the process was paused since the last step. */
export function checkForPause(context: CoreContext, previous: ClockReading): void {
  const monotonicGapMs = context.clock.monotonicMs - previous.monotonicMs;
  const wallGapMs = context.clock.wallMs - previous.wallMs;
  const pausedMs = Math.max(monotonicGapMs, wallGapMs);
  if (pausedMs <= context.options.pauseLimitMs) {
    return;
  }
  context.board.incarnationStatus = IncarnationStatus.Unconfirmed;
  context.board.money.pauseCount += 1;
  context.board.money.pausedAtMs = context.clock.monotonicMs;
  // A paused process receives no heartbeats, so it cannot tell which peers were silent.
  context.board.money.suspectSinceMs.clear();
  context.board.money.confirmRequests.push(undefined);
  logWarn(context, 'The process was paused; dispatch stops until the store confirms this incarnation.', {
    pausedMs,
    incarnationId: context.board.incarnationId,
  });
}
