import type { CoreContext } from '../context.ts';
import { logInfo, logWarn } from '../log.ts';
import { sendFarDigests, sendRegionHeartbeats } from '../membership/sendHeartbeats.ts';
import { returnAllShares } from '../money/returnAllShares.ts';
import type { Task } from '../scheduler/task.ts';
import { receive, sleepUntil } from '../scheduler/task.ts';
import { EffectKind } from '../types/effects.ts';
import { RouterState } from '../types/messages.ts';

/** Running requests are looked at this often; they end by themselves and wake no channel of the drain. */
const RUNNING_CHECK_INTERVAL_MS = 100;
const RETURN_RETRY_INTERVAL_MS = 1_000;

/** Leads a stopping router through its drain to its exit. */
export function* drainController(context: CoreContext): Task<void> {
  yield* receive(context.board.stopSignal, Infinity);
  announceDrain(context);
  yield* sleepUntil(context.clock.monotonicMs + context.options.entryKeepMs);
  context.board.acceptsRequests = false;
  yield* waitForRequests(context);
  yield* returnShares(context);
  // Operators' requests are still accepted while the shares return; an exit would cut them off.
  yield* waitForRequests(context);
  logInfo(context, 'The drain is complete; the router exits.', {
    routerId: context.board.identity.routerId,
    incarnationId: context.board.incarnationId,
  });
  context.emit({ kind: EffectKind.Exit });
}

/** Peers leave this router out of their entry answers as soon as they hear of its state. */
function announceDrain(context: CoreContext): void {
  context.board.routerState = RouterState.Draining;
  sendRegionHeartbeats(context);
  sendFarDigests(context, 0);
  logInfo(context, 'The router drains: it accepts requests until cached entry answers have expired.', {
    entryKeepMs: context.options.entryKeepMs,
    runningCount: context.board.requests.running.size,
  });
}

function* waitForRequests(context: CoreContext): Task<void> {
  const { requests, adminExchanges } = context.board;
  while (requests.running.size > 0 || adminExchanges.size > 0) {
    yield* sleepUntil(context.clock.monotonicMs + RUNNING_CHECK_INTERVAL_MS);
  }
}

/** With the store down the exit must not wait for ever: the reclaim finds what is left. */
function* returnShares(context: CoreContext): Task<void> {
  const { drainLimitMs } = context.options;
  const deadlineMs = context.clock.monotonicMs + drainLimitMs;
  while (context.clock.monotonicMs < deadlineMs) {
    if (yield* returnAllShares(context)) {
      return;
    }
    yield* sleepUntil(context.clock.monotonicMs + RETURN_RETRY_INTERVAL_MS);
  }
  logWarn(context, 'The drain ends with money that could not be returned; a peer reclaims it.', {
    drainLimitMs,
    incarnationId: context.board.incarnationId,
  });
}
