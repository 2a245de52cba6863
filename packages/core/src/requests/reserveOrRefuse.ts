import type { CoreContext } from '../context.ts';
import type { Reservation } from '../money/types.ts';
import type { Task } from '../scheduler/task.ts';
import type { CallerMetadata } from '../types/requests.ts';
import { removeDisconnectedCallers, redirectCallers } from './callers.ts';
import { refuseRun } from './refusal.ts';
import type { RunningRequest } from './types.ts';

/**
 * Reserves the worst-case cost. Returns undefined if the callers were redirected or refused, or have all
 * disconnected.
 */
export function* reserveOrRefuse(
  context: CoreContext,
  run: RunningRequest,
  metadata: CallerMetadata,
  amountMicros: number,
): Task<Reservation | undefined> {
  const { money } = context.board.requests;
  const waitUntilMs = context.clock.monotonicMs + context.options.reserveWaitMs;
  const result = yield* money.reserve(context, {
    requestId: run.scopedRequestId,
    organisationId: run.organisationId,
    amountMicros,
    deadlineMs: Math.min(run.deadlineMs, waitUntilMs),
  });
  removeDisconnectedCallers(context, run);
  if (result.isErr()) {
    const { reason, redirectAddress } = result.error;
    if (redirectAddress !== undefined && !metadata.redirected) {
      redirectCallers(context, run, redirectAddress, metadata.target);
    } else {
      refuseRun(context, run, reason);
    }
    return undefined;
  }
  if (run.callers.size === 0) {
    money.releaseReservation(context, result.value);
    return undefined;
  }
  return result.value;
}
