import type { CoreContext } from '../context.ts';
import { logInfo, logWarn } from '../log.ts';
import { sendCrossRegionDigests, sendRegionHeartbeats } from '../membership/sendHeartbeats.ts';
import { returnAllShares } from '../money/returnAllShares.ts';
import type { Task } from '../scheduler/task.ts';
import { receive, sleepUntil } from '../scheduler/task.ts';
import { EffectKind } from '../types/effects.ts';
import { RouterState } from '../types/messages.ts';

/** Open requests are polled, because finishing a request does not wake the drain controller. */
const OPEN_REQUEST_POLL_INTERVAL_MS = 100;
const SHARE_RETURN_RETRY_INTERVAL_MS = 1_000;

/** Drains the router after a stop request and then exits. */
export function* drainController(context: CoreContext): Task<void> {
  yield* receive(context.board.stopSignal, Infinity);
  announceDrain(context);
  yield* sleepUntil(context.clock.monotonicMs + context.options.entryKeepMs);
  context.board.acceptsRequests = false;
  yield* waitForOpenRequests(context);
  yield* returnShares(context);
  // Administration requests are accepted while shares are returned; exiting now would cut them off.
  yield* waitForOpenRequests(context);
  logInfo(context, 'Drain complete; the router is exiting.', {
    routerId: context.board.identity.routerId,
    incarnationId: context.board.incarnationId,
  });
  context.emit({ kind: EffectKind.Exit });
}

/** Announces the drain, so that peers omit this router from their entry answers. */
function announceDrain(context: CoreContext): void {
  context.board.routerState = RouterState.Draining;
  sendRegionHeartbeats(context);
  sendCrossRegionDigests(context, 0);
  logInfo(context, 'The router is draining; it accepts requests until cached entry answers expire.', {
    entryKeepMs: context.options.entryKeepMs,
    runningCount: context.board.requests.running.size,
  });
}

function* waitForOpenRequests(context: CoreContext): Task<void> {
  const { requests, adminExchanges } = context.board;
  while (requests.running.size > 0 || adminExchanges.size > 0) {
    yield* sleepUntil(context.clock.monotonicMs + OPEN_REQUEST_POLL_INTERVAL_MS);
  }
}

/** Returns all shares. If the store is down, gives up after `drainLimitMs`; a reclaim recovers the rest. */
function* returnShares(context: CoreContext): Task<void> {
  const { drainLimitMs } = context.options;
  const deadlineMs = context.clock.monotonicMs + drainLimitMs;
  while (context.clock.monotonicMs < deadlineMs) {
    if (yield* returnAllShares(context)) {
      return;
    }
    yield* sleepUntil(context.clock.monotonicMs + SHARE_RETURN_RETRY_INTERVAL_MS);
  }
  logWarn(context, 'Drain time limit reached before all money was returned; a peer will reclaim the rest.', {
    drainLimitMs,
    incarnationId: context.board.incarnationId,
  });
}
