import type { Task } from '@pimentostall/core';
import { Channel, receive } from '@pimentostall/core';
import type { GatewayBlackboard } from '../blackboard.ts';
import type { GatewayContext } from '../context.ts';
import { LogLevel } from '../observability/log.ts';
import { homeRouters } from './homeRouters.ts';
import { borrowTokens } from './lending.ts';
import { OrganisationLedger } from './organisationLedger.ts';
import type { LedgerChange } from './types.ts';
import { LedgerOutcomeKind } from './types.ts';

export enum ReserveOutcomeKind {
  Reserved = 'reserved',
  /** The rows as read cannot cover the request. */
  BudgetExhausted = 'exhausted',
  /** No share is free here now; other routers or running requests may free some. */
  ShareShort = 'short',
}

/** Where a request waits for tokens. */
interface Waiter {
  readonly tokens: number;
  readonly woken: Channel<true>;
}

/** An organisation's ledger with the requests that wait for it and the task that keeps its rows. */
export interface LedgerAccount {
  readonly organisationName: string;
  readonly ledger: OrganisationLedger;
  readonly wake: Channel<true>;
  readonly waiters: Set<Waiter>;
  /** Number of replies of the store, so that a waiter sees that a reply came after it began to wait. */
  replies: number;
  /** True while other routers are asked for a loan. */
  borrowing: boolean;
  lastBorrowMs: number;
  /** Number of the next loan that this router asks for. */
  nextLoanNumber: number;
  /** Tokens of the loans that this router gave of late, by loan; 0 for those that were taken back. */
  readonly givenLoans: Map<string, number>;
}

/** Returns the account of an organisation and starts its task at the first use. */
export function openAccount(context: GatewayContext, organisationName: string): LedgerAccount {
  const known = context.board.accounts.get(organisationName);
  if (known !== undefined) {
    return known;
  }
  const account: LedgerAccount = {
    organisationName,
    ledger: new OrganisationLedger(
      {
        incarnationId: context.self.incarnationId,
        previousIncarnation: context.board.previousIncarnation,
        release: context.options.release,
      },
      context.loop.nowMs(),
    ),
    wake: new Channel<true>(),
    waiters: new Set(),
    replies: 0,
    borrowing: false,
    lastBorrowMs: 0,
    nextLoanNumber: 1,
    givenLoans: new Map(),
  };
  context.board.accounts.set(organisationName, account);
  context.loop.spawn(`ledger ${organisationName}`, keepAccount(context, account));
  return account;
}

export interface ReserveOptions {
  readonly waitUntilMs: number;
  /**
   * True for a loan to another router. A lender only draws, so that routers do not ask each other in a circle, and the
   * demand is the borrower's: counted by both, it would grow with each round of asking.
   */
  readonly forLoan: boolean;
}

/** Reserves tokens, drawing from the budget and waiting a bounded time if the share is short. */
export function* reserveTokens(
  context: GatewayContext,
  account: LedgerAccount,
  tokens: number,
  { waitUntilMs, forLoan }: ReserveOptions,
): Task<ReserveOutcomeKind> {
  const { ledger } = account;
  if (!forLoan) {
    ledger.recordDemand(tokens, context.loop.nowMs());
  }
  if (tryReserve(context, account, tokens)) {
    return ReserveOutcomeKind.Reserved;
  }
  const waiter: Waiter = { tokens, woken: new Channel<true>() };
  const borrowsFirst =
    !forLoan &&
    isAwayFromHome(context, account) &&
    ledger.isSparse(context.options.sharePlan.horizonMs, context.loop.nowMs());
  if (!borrowsFirst) {
    account.lastBorrowMs = Math.max(
      account.lastBorrowMs,
      context.loop.nowMs() + context.options.firstBorrowMs - context.options.borrowPauseMs,
    );
  }
  account.waiters.add(waiter);
  try {
    if (!borrowsFirst) {
      wakeAccount(context, account);
    }
    const repliesBefore = account.replies;
    while (context.loop.nowMs() < waitUntilMs) {
      const borrowMs = forLoan ? Infinity : borrowAtMs(context, account);
      const woken = yield* receive(waiter.woken, Math.min(waitUntilMs, borrowMs));
      const asksPeers = woken === undefined && !forLoan && !account.borrowing;
      if (asksPeers) {
        yield* borrowForWaiters(context, account);
      }
      if (tryReserve(context, account, tokens)) {
        return ReserveOutcomeKind.Reserved;
      }
      if (asksPeers && borrowsFirst) {
        // The homes have too little, or cannot be reached. Only a round of asking leads to a draw: the account wakes
        // its waiters after each plan, and must not be woken by them in turn.
        wakeAccount(context, account);
      }
      const budget = budgetOf(context.board, account.organisationName);
      if (account.replies > repliesBefore && ledger.isExhausted(budget, tokens)) {
        return ReserveOutcomeKind.BudgetExhausted;
      }
    }
    return ReserveOutcomeKind.ShareShort;
  } finally {
    account.waiters.delete(waiter);
  }
}

/** Time at which waiting requests ask other routers: the store has then had the time of two answers. */
function borrowAtMs(context: GatewayContext, account: LedgerAccount): number {
  return account.borrowing ? Infinity : account.lastBorrowMs + context.options.borrowPauseMs;
}

function* borrowForWaiters(context: GatewayContext, account: LedgerAccount): Task<void> {
  account.borrowing = true;
  let borrowed = false;
  try {
    const smallestTokens = Math.min(...[...account.waiters].map(({ tokens }) => tokens));
    const spendableTokens = account.ledger.spendableFreeTokens(silentMs(context, account));
    const neededTokens = smallestTokens - Math.max(0, spendableTokens);
    if (neededTokens > 0 && (yield* borrowTokens(context, account, neededTokens))) {
      borrowed = true;
      wakeWaiters(context, account);
    }
  } finally {
    account.borrowing = false;
    // After a loan, the next waiting request may ask at once.
    account.lastBorrowMs = context.loop.nowMs() - (borrowed ? context.options.borrowPauseMs : 0);
  }
}

/** Ends a reservation with what was spent, and lets waiting requests try again. */
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
 * Time of the store's silence by which a share may open: bounded by the liveness record, which the next life relies
 * on, and by the share's own last change, so that shares keep to their limits again once the store is back.
 */
export function silentMs({ board, loop }: GatewayContext, { ledger }: LedgerAccount): number {
  return loop.nowMs() - Math.max(board.newestLivenessRecordAtMs, ledger.syncedAtMs ?? -Infinity);
}

function tryReserve(context: GatewayContext, account: LedgerAccount, tokens: number): boolean {
  const { board } = context;
  // After a cut of the budget below what is drawn, free tokens are no longer this router's to spend.
  const overdrawn = account.ledger.rows.total.grantedTokens > budgetOf(board, account.organisationName);
  return !overdrawn && account.ledger.tryReserve(tokens, silentMs(context, account));
}

export function budgetOf(board: GatewayBlackboard, organisationName: string): number {
  return board.configuration?.organisations.get(organisationName)?.tokenBudget ?? 0;
}

export function wakeAccount(context: GatewayContext, account: LedgerAccount): void {
  if (account.wake.size === 0) {
    context.loop.push(account.wake, true);
  }
}

/** Lets waiting requests try again, after tokens may have become free. */
export function wakeWaiters(context: GatewayContext, account: LedgerAccount): void {
  for (const waiter of [...account.waiters]) {
    if (waiter.woken.size === 0) {
      context.loop.push(waiter.woken, true);
    }
  }
}

/**
 * Accounts that try in one backoff time; with more, each waits longer, so that they do not use up the rate of writes.
 * All of them are woken when the store is back.
 */
const ACCOUNTS_PER_BACKOFF = 10;

/** Draws, returns and settles: at once when a request waits, otherwise once per period. */
function* keepAccount(context: GatewayContext, account: LedgerAccount): Task<void> {
  const { loop, options } = context;
  // Periods of the accounts are spread, so that routers that started together do not conflict each time.
  let nextMs = loop.nowMs() + options.settlePeriodMs * context.random();
  let failures = 0;
  while (!context.board.stopped) {
    yield* receive(account.wake, nextMs);
    const change = nextChange(context, account);
    if (change === undefined) {
      nextMs = loop.nowMs() + options.settlePeriodMs;
      // Nothing can be drawn now: the waiting requests learn it from the rows.
      account.replies += 1;
      wakeWaiters(context, account);
      continue;
    }
    const end = yield* commit(context, account, change);
    failures = end === LedgerOutcomeKind.Committed || end === LedgerOutcomeKind.Conflict ? 0 : failures + 1;
    const backoffMs =
      Math.min(options.storeBackoffMs * 2 ** failures, options.storeBackoffMaxMs) *
      Math.max(1, context.board.accounts.size / ACCOUNTS_PER_BACKOFF);
    nextMs = loop.nowMs() + pauseMs(context, account, end, backoffMs);
  }
}

function nextChange(context: GatewayContext, account: LedgerAccount): LedgerChange | undefined {
  const { board, loop, options } = context;
  const needs = [...account.waiters].map(({ tokens }) => tokens);
  if (board.returningShares) {
    return account.ledger.planReturn();
  }
  return account.ledger.plan(
    {
      budgetTokens: budgetOf(board, account.organisationName),
      neededTokens: needs.reduce((sum, tokens) => sum + tokens, 0),
      leastNeededTokens: needs.length === 0 ? 0 : Math.min(...needs),
      routerCount: Math.max(1, board.routers.size),
      awayFromHome: isAwayFromHome(context, account),
      settlePeriodMs: totalPeriodMs(context),
      nowMs: loop.nowMs(),
    },
    options.sharePlan,
  );
}

/** True if the organisation has homes and this router is none of them. */
function isAwayFromHome(context: GatewayContext, { organisationName }: LedgerAccount): boolean {
  const homes = homeRouters(context, organisationName);
  return homes.length > 0 && !homes.includes(context.self.routerId);
}

/** Period in which a router reports its spending in the totals: longer the more routers change the same row. */
function totalPeriodMs({ board, options }: GatewayContext): number {
  return Math.max(options.settlePeriodMs, (board.routers.size * 1_000) / options.settlesPerSecond);
}

/** Pause before the next change, by how the last one ended. */
function pauseMs(
  { board, loop, options, random }: GatewayContext,
  account: LedgerAccount,
  end: LedgerOutcomeKind,
  backoffMs: number,
): number {
  switch (end) {
    case LedgerOutcomeKind.Committed:
      return account.waiters.size > 0 ? options.redrawDelayMs : options.settlePeriodMs;
    case LedgerOutcomeKind.Conflict:
      // Other routers change the rows at the same time: the pause lets them finish.
      return options.redrawDelayMs * (1 + random());
    case LedgerOutcomeKind.Rejected:
      // A busy store, or a used-up rate of writes: calls that come back at once would only be refused again.
      return backoffMs * (0.5 + random());
    case LedgerOutcomeKind.Unknown:
      // A call that was stuck says nothing of a store that answers others.
      return loop.nowMs() - (board.storeLastReplyAtMs ?? -Infinity) < options.storeHeardRecentlyMs
        ? options.redrawDelayMs * (1 + random())
        : backoffMs * (0.5 + random());
  }
}

/** Sends a change, again at once after a conflict, and returns how the last one ended. */
function* commit(
  context: GatewayContext,
  account: LedgerAccount,
  first: LedgerChange,
): Task<LedgerOutcomeKind> {
  const { loop, ledgerStore, options } = context;
  let change: LedgerChange | undefined = first;
  for (let tries = 0; change !== undefined && tries < options.ledgerConflictTries; tries += 1) {
    account.ledger.recordSent(change);
    const urgent = account.waiters.size > 0 || !account.ledger.isWithinLimit || context.board.returningShares;
    const outcome = yield* loop.settled(ledgerStore.commit(account.organisationName, change, urgent));
    account.ledger.recordOutcome(change, outcome, loop.nowMs());
    logOutcome(context, account, change, outcome.kind);
    switch (outcome.kind) {
      case LedgerOutcomeKind.Committed:
        account.replies += 1;
        wakeWaiters(context, account);
        return outcome.kind;
      case LedgerOutcomeKind.Conflict:
        account.replies += 1;
        wakeWaiters(context, account);
        change = nextChange(context, account);
        break;
      case LedgerOutcomeKind.Rejected:
      case LedgerOutcomeKind.Unknown:
        return outcome.kind;
    }
  }
  return change === undefined ? LedgerOutcomeKind.Committed : LedgerOutcomeKind.Conflict;
}

function logOutcome(
  context: GatewayContext,
  account: LedgerAccount,
  change: LedgerChange,
  outcome: LedgerOutcomeKind,
): void {
  const own = change.base.share?.incarnationId === change.share.incarnationId ? change.base.share : undefined;
  const drawnTokens = change.share.grantedTokens - (own?.grantedTokens ?? 0);
  context.log(outcome === LedgerOutcomeKind.Unknown ? LogLevel.Warn : LogLevel.Debug, 'budget change', {
    organisation: account.organisationName,
    outcome,
    drawnTokens,
    baseVersion: change.base.totalVersion,
    grantedTokens: account.ledger.rows.total.grantedTokens,
    settledTokens: account.ledger.rows.total.settledTokens,
    strandedTokens: account.ledger.rows.total.strandedTokens,
    freeTokens: account.ledger.freeTokens,
    limitTokens: account.ledger.rows.share?.limitTokens,
    reservedTokens: account.ledger.reserved,
    budgetTokens: budgetOf(context.board, account.organisationName),
  });
}
