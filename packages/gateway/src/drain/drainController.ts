import type { Task } from '@pimentostall/core';
import { sleepUntil } from '@pimentostall/core';
import type { GatewayContext } from '../context.ts';
import { wakeAccount } from '../money/ledgerController.ts';
import { LogLevel } from '../observability/log.ts';

/** How often a stopping router looks whether it may end. */
const DRAIN_CHECK_MS = 50;
/** Time to give the shares back: ten answers of the store. */
const RETURN_SHARES_MS = 150;

export interface DrainActions {
  /** Stops taking connections. */
  stopAccepting(): void;
  /** The process may exit. */
  done(): void;
}

/**
 * Stops a router gracefully: it leaves the entry answers at once, goes on taking requests while callers learn other
 * addresses, finishes what it has taken, gives its shares back and ends before it would be killed.
 */
export function* drainRouter(context: GatewayContext, actions: DrainActions): Task<void> {
  const { board, loop, options, log } = context;
  board.draining = true;
  board.drainStartedAtMs = loop.nowMs();
  log(LogLevel.Info, 'stopping', { openRequests: board.openRequests });
  const acceptUntilMs = board.drainStartedAtMs + options.drainAcceptMs;
  const limitMs = board.drainStartedAtMs + options.drainLimitMs;
  while (loop.nowMs() < limitMs) {
    yield* sleepUntil(loop.nowMs() + DRAIN_CHECK_MS);
    if (loop.nowMs() >= acceptUntilMs && board.openRequests === 0) {
      break;
    }
  }
  actions.stopAccepting();
  board.returningShares = true;
  for (const account of board.accounts.values()) {
    wakeAccount(context, account);
  }
  yield* sleepUntil(loop.nowMs() + RETURN_SHARES_MS);
  log(LogLevel.Info, 'stopped', { openRequests: board.openRequests });
  board.stopped = true;
  actions.done();
}
