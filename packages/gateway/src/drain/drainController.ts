import type { Task } from '@pimentostall/core';
import { sleepUntil } from '@pimentostall/core';
import type { GatewayContext } from '../context.ts';
import { wakeAccount } from '../money/ledgerController.ts';
import { LogLevel } from '../observability/log.ts';

/** Interval at which a draining router checks whether all requests have finished. */
const DRAIN_CHECK_INTERVAL_MS = 50;
/** Time allowed for returning the budget shares: ten typical round trips to the store. */
const SHARE_RETURN_WAIT_MS = 150;

export interface DrainActions {
  /** Stops accepting connections. */
  stopAccepting(): void;
  /** Called at the end of the drain; the process may exit. */
  onDrainEnded(): void;
}

/**
 * Shuts a router down gracefully. Entry responses omit it at once, but it accepts requests for a while longer, until
 * callers have refreshed their addresses. It then finishes the open requests, returns its budget shares and exits
 * before it would be killed.
 */
export function* drainRouter(context: GatewayContext, actions: DrainActions): Task<void> {
  const { board, loop, options, log } = context;
  board.draining = true;
  board.drainStartedAtMs = loop.nowMs();
  log(LogLevel.Info, 'router draining; finishing open requests', { openRequests: board.openRequests });
  const acceptUntilMs = board.drainStartedAtMs + options.drainAcceptMs;
  const limitMs = board.drainStartedAtMs + options.drainLimitMs;
  while (loop.nowMs() < limitMs) {
    yield* sleepUntil(loop.nowMs() + DRAIN_CHECK_INTERVAL_MS);
    if (loop.nowMs() >= acceptUntilMs && board.openRequests === 0) {
      break;
    }
  }
  actions.stopAccepting();
  board.returningShares = true;
  for (const account of board.accounts.values()) {
    wakeAccount(context, account);
  }
  yield* sleepUntil(loop.nowMs() + SHARE_RETURN_WAIT_MS);
  log(LogLevel.Info, 'drain ended; router exiting', { openRequests: board.openRequests });
  board.stopped = true;
  actions.onDrainEnded();
}
