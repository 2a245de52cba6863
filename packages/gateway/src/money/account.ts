import type { Channel } from '@pimentostall/core';
import type { GatewayBlackboard } from '../blackboard.ts';
import type { GatewayContext } from '../context.ts';
import type { BudgetSight } from './budgetSight.ts';
import type { KnownGrant } from './knownGrant.ts';
import { isReadBeforeCut, newerGrant } from './knownGrant.ts';
import type { OrganisationLedger } from './organisationLedger.ts';
import { outstandingLoanTokens } from './outstandingLoans.ts';
import type { ReceivedLoan } from './returnLoans.ts';
import { ShareRoleKind, shareRole } from './shareRole.ts';

/** A request that waits for tokens. */
export interface Waiter {
  readonly tokens: number;
  readonly woken: Channel<true>;
}

/** An organisation's ledger with the requests that wait for tokens and the state of its synchronization task. */
export interface LedgerAccount {
  readonly organisationName: string;
  readonly ledger: OrganisationLedger;
  /** Wakes the synchronization task before its next period. */
  readonly wake: Channel<true>;
  readonly waiters: Set<Waiter>;
  /** Counts store replies and plans without a change, so that a waiter can tell whether the rows were checked since. */
  rowCheckCount: number;
  /** Role at the last plan; undefined before the first. */
  roleKind: ShareRoleKind | undefined;
  /** Monotonic time until which only waiting requests wake the synchronization task; set after a rejected change. */
  backoffUntilMs: number;
  /** True while a loan is being requested from other routers. */
  borrowing: boolean;
  /**
   * Monotonic time from which `borrowPauseMs` counts until the next round of loan requests. Moved back or forth so that
   * the round takes place earlier or later.
   */
  borrowPauseStartedAtMs: number;
  /** Monotonic time before which no loan is requested in advance; set after one that was refused. */
  prefetchPausedUntilMs: number;
  /** Monotonic time until which a borrower draws for its waiting requests itself, since no home router lends. */
  drawsUntilMs: number;
  /** What the lenders last reported of the budget; undefined before the first report. */
  sight: BudgetSight | undefined;
  /** How much of the budget is drawn, by the newest reply of the store or of a lender. */
  grant: KnownGrant;
  /** Sequence number of the next loan that this router requests. */
  nextLoanNumber: number;
  /** Loans received since the last return, oldest first; see returnLoans.ts. */
  receivedLoans: readonly ReceivedLoan[];
  /** Tokens of the loans that this router gave recently, by loan id; 0 for cancelled and returned loans. */
  readonly givenLoans: Map<string, number>;
}

/** Replaces a reservation with the tokens actually spent and wakes waiting requests. */
export function settleTokens(
  context: GatewayContext,
  account: LedgerAccount,
  reservedTokens: number,
  spentTokens: number,
): void {
  account.ledger.settle(reservedTokens, spentTokens);
  wakeWaiters(context, account);
}

/**
 * Length of the store outage as far as it allows the release of tokens beyond a share's limit. Counts from the newest
 * liveness record, which the next incarnation relies on, or from the last reply that showed the share row if that is
 * later, so that the limit applies again once the store responds.
 */
export function silentMs({ board, loop }: GatewayContext, { ledger }: LedgerAccount): number {
  return loop.nowMs() - Math.max(board.newestLivenessRecordAtMs, ledger.syncedAtMs ?? -Infinity);
}

/** Reserves tokens of the share that are free now. */
export function tryReserve(context: GatewayContext, account: LedgerAccount, tokens: number): boolean {
  const { loop } = context;
  const { ledger } = account;
  if (isOverdrawn(context, account) || !ledger.tryReserve(tokens, silentMs(context, account))) {
    return false;
  }
  if (ledger.isLimitLow && loop.nowMs() >= account.backoffUntilMs) {
    // Raises the limit before a request has to wait for it.
    wakeAccount(context, account);
  }
  return true;
}

/**
 * True if no tokens may be reserved because the budget was cut: more is drawn than the budget, or this router does not
 * know whether that is so. Free tokens are returned instead of spent.
 */
export function isOverdrawn(context: GatewayContext, account: LedgerAccount): boolean {
  return (
    account.grant.grantedTokens > budgetOf(context.board, account.organisationName) ||
    isGrantOutdated(context, account)
  );
}

/** True if the budget was cut since this router last learned how much is drawn, and it can learn that now. */
export function isGrantOutdated(context: GatewayContext, account: LedgerAccount): boolean {
  const { board, loop, options } = context;
  if (!isReadBeforeCut(account.grant, budgetOf(board, account.organisationName))) {
    return false;
  }
  switch (shareRole(context, account.organisationName).kind) {
    case ShareRoleKind.Borrower:
      return true;
    case ShareRoleKind.Home:
      // In an outage of the store it serves from what was debited before the cut.
      return loop.nowMs() - (board.storeLastReplyAtMs ?? -Infinity) < options.settlePeriodMs;
    case ShareRoleKind.Independent:
      return false;
  }
}

/**
 * Returns an upper bound of the tokens that the totals show as spent but that lie unspent with borrowers. A borrower does
 * not follow the totals and takes the bound of the lender that last replied if that is higher.
 */
export function outstandingTokens({ board, loop, self }: GatewayContext, account: LedgerAccount): number {
  const { ledger, organisationName, sight } = account;
  const measuredTokens = outstandingLoanTokens({
    budgetTokens: budgetOf(board, organisationName),
    fleetDemandTokensPerSecond: ledger.fleetDemandPerSecond(loop.nowMs()),
  });
  switch (shareRole({ board, self }, organisationName).kind) {
    case ShareRoleKind.Home:
      return measuredTokens;
    case ShareRoleKind.Borrower:
      return Math.max(measuredTokens, sight?.outstandingTokens ?? 0);
    case ShareRoleKind.Independent:
      return 0;
  }
}

/** True if the store replies and has recently shown the totals, so that this router can tell what is left of the budget. */
export function knowsTotals({ board, loop, options }: GatewayContext, { ledger }: LedgerAccount): boolean {
  const nowMs = loop.nowMs();
  return (
    nowMs - (board.storeLastReplyAtMs ?? -Infinity) < options.settlePeriodMs && ledger.hasRecentTotals(nowMs)
  );
}

/** Records how much of the budget is drawn; a router that learns of an overdrawn budget returns its free tokens. */
export function recordGrant(context: GatewayContext, account: LedgerAccount, grant: KnownGrant): void {
  account.grant = newerGrant(account.grant, grant);
  if (account.ledger.freeTokens > 0 && isOverdrawn(context, account)) {
    wakeAccount(context, account);
  }
}

/** Returns the budget of an organisation; 0 if it is unknown or has none. */
export function budgetOf(board: GatewayBlackboard, organisationName: string): number {
  return board.configuration?.organisations.get(organisationName)?.tokenBudget ?? 0;
}

export function wakeAccount(context: GatewayContext, account: LedgerAccount): void {
  if (account.wake.size === 0) {
    context.loop.push(account.wake, true);
  }
}

/** Wakes all waiting requests after tokens may have become free. */
export function wakeWaiters(context: GatewayContext, account: LedgerAccount): void {
  for (const waiter of [...account.waiters]) {
    if (waiter.woken.size === 0) {
      context.loop.push(waiter.woken, true);
    }
  }
}
