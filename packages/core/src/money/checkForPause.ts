import { IncarnationStatus } from '../blackboard.ts';
import type { CoreContext } from '../context.ts';
import { logWarn } from '../log.ts';
import type { ClockReading } from '../types/events.ts';

/** Takes the permission to dispatch away if either clock shows that the process was paused since the last step. */
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
  // While it was paused the process heard nobody, so it may not judge who was silent.
  context.board.money.suspectSinceMs.clear();
  context.board.money.confirmRequests.push(undefined);
  logWarn(context, 'The process was paused; dispatch stops until the store confirms this incarnation.', {
    pausedMs,
    incarnationId: context.board.incarnationId,
  });
}
