import type { Task } from '@pimentostall/core';
import { Channel, receive } from '@pimentostall/core';
import type { GatewayBlackboard } from '../blackboard.ts';
import type { GatewayContext } from '../context.ts';
import { LogLevel } from '../observability/log.ts';
import type { RouterEntry } from '../types.ts';
import { wakeAccount } from './account.ts';

/**
 * Least wait of a router before it draws in an era of the store, unless another router has waited already: a router whose
 * row the store has lost announces itself again within this time.
 */
const MIN_RESTORATION_MS = 1_500;
/** Longest wait for other routers to write their shares again; those that have not done so by then count as dead. */
const MAX_RESTORATION_MS = 5_000;
const CHECK_INTERVAL_MS = 100;
/** Time per router over which the changes are spread that write the shares again. */
const SPREAD_PER_ROUTER_MS = 5;

/** How far the routers have written their shares again after a return of the store from a copy. */
export interface RestorationState {
  /** Monotonic time at which this router learned of the era of the store. */
  eraLearnedAtMs: number;
  /** Newest era in which this router may draw tokens; undefined before the first. */
  drawEra: number | undefined;
  /** Wakes the task that waits for the other routers. */
  readonly eraChanges: Channel<true>;
}

export function createRestorationState(): RestorationState {
  return { eraLearnedAtMs: -Infinity, drawEra: undefined, eraChanges: new Channel<true>() };
}

/**
 * False while other routers may hold tokens that the rewound totals of the budgets lack. Tokens in hand stay spendable:
 * they were debited before.
 */
export function mayDraw({ storeEra, restoration }: GatewayBlackboard): boolean {
  return storeEra === undefined || restoration.drawEra === storeEra;
}

/** What this router tells the others of its shares, in its row. */
export function restorationStatus(board: GatewayBlackboard): Pick<RouterEntry, 'restoredEra' | 'drawEra'> {
  return {
    restoredEra: isRestored(board) ? board.storeEra : undefined,
    drawEra: board.restoration.drawEra,
  };
}

/**
 * Called when a reply of the store shows a new era, before the reply is used: the share rows and totals of the budgets
 * may lack what was drawn and spent since the copy. Each router writes its shares again; none draws before all have.
 */
export function beginStoreEra(context: GatewayContext, era: number): void {
  const { board, loop, random } = context;
  board.storeEra = era;
  board.restoration.eraLearnedAtMs = loop.nowMs();
  loop.push(board.restoration.eraChanges, true);
  for (const account of board.accounts.values()) {
    account.ledger.beginEra(era);
    if (account.ledger.isRestoring) {
      account.backoffUntilMs = loop.nowMs() + random() * SPREAD_PER_ROUTER_MS * board.routers.size;
      wakeAccount(context, account);
    }
  }
}

/** Waits in each era of the store until the other routers have written their shares again, then permits draws. */
export function* followRestoration(context: GatewayContext): Task<void> {
  const { board, loop } = context;
  while (!board.stopped) {
    const { restoration, storeEra } = board;
    if (storeEra === undefined || mayDraw(board)) {
      yield* receive(restoration.eraChanges, Infinity);
      continue;
    }
    const missing = missingRouters(context, storeEra);
    const waitedMs = loop.nowMs() - restoration.eraLearnedAtMs;
    const isComplete = missing.length === 0 && waitedMs >= MIN_RESTORATION_MS;
    if (
      isRestored(board) &&
      (isComplete || drawsElsewhere(context, storeEra) || waitedMs >= MAX_RESTORATION_MS)
    ) {
      restoration.drawEra = storeEra;
      context.log(
        missing.length === 0 ? LogLevel.Info : LogLevel.Warn,
        'tokens are drawn in this era of the store',
        {
          era: storeEra,
          waitedMs: Math.round(waitedMs),
          missingRouters: missing,
        },
      );
      for (const account of board.accounts.values()) {
        wakeAccount(context, account);
      }
      continue;
    }
    yield* receive(restoration.eraChanges, loop.nowMs() + CHECK_INTERVAL_MS);
  }
}

/** Time after which this router is likely to draw tokens; 0 if it may now. */
export function restorationWaitMs({ board, loop }: Pick<GatewayContext, 'board' | 'loop'>): number {
  return mayDraw(board)
    ? 0
    : Math.max(0, board.restoration.eraLearnedAtMs + MIN_RESTORATION_MS - loop.nowMs());
}

function isRestored({ accounts }: GatewayBlackboard): boolean {
  return [...accounts.values()].every(({ ledger }) => !ledger.isRestoring);
}

/** Ids of the other routers that have not written their shares again. */
function missingRouters({ board, self }: GatewayContext, era: number): string[] {
  return [...board.routers.values()]
    .filter(({ entry }) => entry.routerId !== self.routerId && (entry.restoredEra ?? -Infinity) < era)
    .map(({ entry }) => entry.routerId);
}

/** True if another router has waited for all that it knew. */
function drawsElsewhere({ board }: GatewayContext, era: number): boolean {
  return [...board.routers.values()].some(({ entry }) => (entry.drawEra ?? -Infinity) >= era);
}
