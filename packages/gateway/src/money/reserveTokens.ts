import type { Task } from '@pimentostall/core';
import { Channel, receive } from '@pimentostall/core';
import type { GatewayContext } from '../context.ts';
import type { LedgerAccount, Waiter } from './account.ts';
import { budgetOf, outstandingTokens, tryReserve, wakeAccount, wakeWaiters } from './account.ts';
import { borrowInAdvance, borrowTokens, loanNeed } from './borrowing.ts';
import { isKnownExhausted } from './budgetSight.ts';
import { ShareRoleKind, shareRole } from './shareRole.ts';

export enum ReserveOutcomeKind {
  Reserved = 'reserved',
  /** The last known totals cannot cover the request. */
  BudgetExhausted = 'exhausted',
  /** This router has too few free tokens; other routers or running requests may free some. */
  ShareShort = 'short',
}

export interface ReserveOptions {
  /** Monotonic time until which the request waits; asked again whenever the request is woken. */
  readonly waitUntilMs: () => number;
  /**
   * True for a loan to another router. A lender draws but does not borrow, so that routers do not request loans from
   * each other in a cycle. Only the borrower records the demand; if both did, it would grow with each round of loan
   * requests.
   */
  readonly forLoan: boolean;
}

/** Reserves tokens. If the share has too few, draws from the budget or borrows, and waits until `waitUntilMs()`. */
export function* reserveTokens(
  context: GatewayContext,
  account: LedgerAccount,
  tokens: number,
  { waitUntilMs, forLoan }: ReserveOptions,
): Task<ReserveOutcomeKind> {
  const { ledger } = account;
  const { loop, options } = context;
  if (tokens > budgetOf(context.board, account.organisationName)) {
    // Not recorded as demand either, which one oversized request would raise for long.
    return ReserveOutcomeKind.BudgetExhausted;
  }
  if (!forLoan) {
    ledger.recordDemand(tokens, loop.nowMs());
  }
  if (tryReserve(context, account, tokens)) {
    if (!forLoan) {
      borrowInAdvance(context, account);
    }
    return ReserveOutcomeKind.Reserved;
  }
  if (
    isKnownExhausted(account.sight, tokens, budgetOf(context.board, account.organisationName), loop.nowMs())
  ) {
    return ReserveOutcomeKind.BudgetExhausted;
  }
  const waiter: Waiter = { tokens, woken: new Channel<true>() };
  // A borrower asks its peers first, and draws only if they do not lend.
  const borrowsFirst =
    !forLoan && shareRole(context, account.organisationName).kind === ShareRoleKind.Borrower;
  if (!borrowsFirst) {
    // The draw has `firstBorrowMs` to complete before peers are asked.
    account.borrowPauseStartedAtMs = Math.max(
      account.borrowPauseStartedAtMs,
      loop.nowMs() + options.firstBorrowMs - options.borrowPauseMs,
    );
  }
  account.waiters.add(waiter);
  try {
    if (!borrowsFirst) {
      wakeAccount(context, account);
    }
    const rowCheckCountBefore = account.rowCheckCount;
    for (let untilMs = waitUntilMs(); loop.nowMs() < untilMs; untilMs = waitUntilMs()) {
      const borrowMs = forLoan ? Infinity : nextBorrowAtMs(context, account);
      const woken = yield* receive(waiter.woken, Math.min(untilMs, borrowMs));
      const asksPeers = woken === undefined && !forLoan && loop.nowMs() >= nextBorrowAtMs(context, account);
      if (asksPeers) {
        yield* borrowForWaiters(context, account);
      }
      if (tryReserve(context, account, tokens)) {
        return ReserveOutcomeKind.Reserved;
      }
      if (asksPeers && borrowsFirst && loop.nowMs() < account.drawsUntilMs) {
        // The peers have too few tokens or did not respond. Wake the account only after a round of loan requests: it
        // wakes its waiters after each plan, so waking it on every turn would loop without waiting.
        wakeAccount(context, account);
      }
      const budget = budgetOf(context.board, account.organisationName);
      if (
        (account.rowCheckCount > rowCheckCountBefore &&
          ledger.isExhausted(budget, outstandingTokens(context, account), tokens)) ||
        isKnownExhausted(account.sight, tokens, budget, loop.nowMs())
      ) {
        return ReserveOutcomeKind.BudgetExhausted;
      }
    }
    return ReserveOutcomeKind.ShareShort;
  } finally {
    account.waiters.delete(waiter);
  }
}

/** Monotonic time of the next round of loan requests; Infinity while one is in progress. */
function nextBorrowAtMs(context: GatewayContext, account: LedgerAccount): number {
  return account.borrowing ? Infinity : account.borrowPauseStartedAtMs + context.options.borrowPauseMs;
}

function* borrowForWaiters(context: GatewayContext, account: LedgerAccount): Task<void> {
  account.borrowing = true;
  let borrowed = false;
  try {
    const need = loanNeed(context, account);
    if (need !== undefined && (yield* borrowTokens(context, account, need))) {
      borrowed = true;
    }
  } finally {
    account.borrowing = false;
    // After a loan, the next waiting request may borrow immediately.
    account.borrowPauseStartedAtMs = context.loop.nowMs() - (borrowed ? context.options.borrowPauseMs : 0);
    // The others go on waiting for the next round.
    wakeWaiters(context, account);
  }
}
