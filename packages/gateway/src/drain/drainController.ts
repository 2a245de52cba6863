import type { Task } from '@pimentostall/core';
import { sleepUntil } from '@pimentostall/core';
import type { GatewayContext } from '../context.ts';
import { wakeAccount } from '../money/account.ts';
import { mayDraw } from '../money/storeRestoration.ts';
import { LogLevel } from '../observability/log.ts';

/** Interval at which a draining router checks whether all requests have finished. */
const DRAIN_CHECK_INTERVAL_MS = 50;
/** Time allowed for the final responses of requests that the router ends. */
const FINAL_RESPONSE_WAIT_MS = 250;
/** Time that started responses and late rejections have after the connections were closed and the shares returned. */
const LAST_RESPONSE_WAIT_MS = 100;
/** Time after which ended responses have been settled, so that their tokens can be returned. */
const SETTLEMENT_WAIT_MS = 10;
/** Least time for returning what the last requests have not spent: ten typical round trips to the store. */
const MIN_SHARE_RETURN_WAIT_MS = 150;
/** Time for returning the shares of all organisations within a router's rate of writes, if the drain has that long. */
const SHARE_RETURN_WAIT_MS = 1_500;

export interface DrainActions {
  /** Ends each open request whose response has not started, and the started ones too if the board says so. */
  endOpenRequests(): void;
  /** Stops accepting connections and closes the idle ones. */
  stopAccepting(): void;
  /** Called at the end of the drain; the process may exit. */
  onDrainEnded(): void;
}

/**
 * Shuts a router down gracefully. Entry responses omit it at once, but it accepts requests for a while longer, until
 * callers have refreshed their addresses. It then finishes the open requests, ends those that last too long, returns
 * its budget shares and exits before it would be killed.
 */
export function* drainRouter(context: GatewayContext, actions: DrainActions): Task<void> {
  const { board, loop, options, log } = context;
  board.draining = true;
  board.drainStartedAtMs = loop.nowMs();
  log(LogLevel.Info, 'router draining; finishing open requests', { openRequests: board.openRequests });
  yield* sleepUntil(board.drainStartedAtMs + options.drainAcceptMs);
  returnFreeTokens(context);
  yield* waitForOpenRequests(context, board.drainStartedAtMs + options.drainLimitMs);
  if (board.openRequests > 0) {
    log(LogLevel.Warn, 'drain limit reached; ending open requests', { openRequests: board.openRequests });
    board.endingRequests = true;
    actions.endOpenRequests();
    yield* waitForOpenRequests(context, loop.nowMs() + FINAL_RESPONSE_WAIT_MS);
  }
  actions.stopAccepting();
  returnFreeTokens(context);
  yield* waitForReturnedShares(context, board.drainStartedAtMs + options.drainLimitMs);
  // Requests that were still being read when the idle connections were closed have been rejected since.
  yield* waitForOpenRequests(context, loop.nowMs() + LAST_RESPONSE_WAIT_MS);
  if (board.openRequests > 0) {
    // Each is settled and logged, and what it has not used is returned.
    log(LogLevel.Warn, 'ending started responses', { openRequests: board.openRequests });
    board.endingResponses = true;
    actions.endOpenRequests();
    yield* sleepUntil(loop.nowMs() + SETTLEMENT_WAIT_MS);
    returnFreeTokens(context);
    yield* sleepUntil(loop.nowMs() + MIN_SHARE_RETURN_WAIT_MS);
  }
  log(LogLevel.Info, 'drain ended; router exiting', { openRequests: board.openRequests });
  board.stopped = true;
  actions.onDrainEnded();
}

/** Makes the accounts return what no open request needs; called again once requests have settled. */
function returnFreeTokens(context: GatewayContext): void {
  context.board.returningShares = true;
  for (const account of context.board.accounts.values()) {
    wakeAccount(context, account);
  }
}

/** @param limitMs monotonic time at which only the least wait is left */
function* waitForReturnedShares({ board, loop }: GatewayContext, limitMs: number): Task<void> {
  const leastUntilMs = loop.nowMs() + MIN_SHARE_RETURN_WAIT_MS;
  const untilMs = Math.max(leastUntilMs, Math.min(loop.nowMs() + SHARE_RETURN_WAIT_MS, limitMs));
  yield* sleepUntil(leastUntilMs);
  const hasUnreturned = (): boolean =>
    [...board.accounts.values()].some(({ ledger }) => ledger.planReturn(mayDraw(board)) !== undefined);
  while (loop.nowMs() < untilMs && hasUnreturned()) {
    yield* sleepUntil(Math.min(untilMs, loop.nowMs() + DRAIN_CHECK_INTERVAL_MS));
  }
}

function* waitForOpenRequests({ board, loop }: GatewayContext, untilMs: number): Task<void> {
  while (board.openRequests > 0 && loop.nowMs() < untilMs) {
    yield* sleepUntil(Math.min(untilMs, loop.nowMs() + DRAIN_CHECK_INTERVAL_MS));
  }
}
