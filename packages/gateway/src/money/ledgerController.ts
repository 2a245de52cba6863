import type { Task } from '@pimentostall/core';
import { Channel, receive } from '@pimentostall/core';
import type { GatewayContext } from '../context.ts';
import { LogLevel } from '../observability/log.ts';
import { superviseTask } from '../runtime/superviseTask.ts';
import type { LedgerAccount } from './account.ts';
import { budgetOf, isGrantOutdated, knowsTotals, recordGrant, wakeAccount, wakeWaiters } from './account.ts';
import { UNKNOWN_GRANT } from './knownGrant.ts';
import { OrganisationLedger } from './organisationLedger.ts';
import { returnIdleLoans } from './returnLoans.ts';
import { ShareRoleKind, shareRole } from './shareRole.ts';
import { mayDraw } from './storeRestoration.ts';
import type { LedgerChange } from './types.ts';
import { ChangeUrgency, LedgerOutcomeKind } from './types.ts';

/** Returns the account of an organisation; creates it and starts its task on first use. */
export function openAccount(context: GatewayContext, organisationName: string): LedgerAccount {
  const existing = context.board.accounts.get(organisationName);
  if (existing !== undefined) {
    return existing;
  }
  const account: LedgerAccount = {
    organisationName,
    ledger: new OrganisationLedger(
      {
        incarnationId: context.self.incarnationId,
        previousIncarnation: context.board.previousIncarnation,
        release: context.options.release,
        storeEra: context.board.storeEra,
      },
      context.loop.nowMs(),
    ),
    wake: new Channel<true>(),
    waiters: new Set(),
    rowCheckCount: 0,
    roleKind: undefined,
    backoffUntilMs: -Infinity,
    borrowing: false,
    borrowPauseStartedAtMs: 0,
    prefetchPausedUntilMs: -Infinity,
    drawsUntilMs: -Infinity,
    sight: undefined,
    grant: UNKNOWN_GRANT,
    nextLoanNumber: 1,
    receivedLoans: [],
    givenLoans: new Map(),
  };
  context.board.accounts.set(organisationName, account);
  postponeTotals(context, account);
  const task = `ledger ${organisationName}`;
  context.loop.spawn(
    task,
    superviseTask(context, task, () => synchronizeAccount(context, account)),
  );
  return account;
}

/** Resolves the open changes of all accounts when the store replies again; spreads the changes of the totals. */
export function handleStoreRecovery(context: GatewayContext): void {
  for (const account of context.board.accounts.values()) {
    postponeTotals(context, account);
    wakeAccount(context, account);
  }
}

/** Spreads changes that no request waits for over a period, when many routers could make them at the same moment. */
function postponeTotals(context: GatewayContext, account: LedgerAccount): void {
  const { loop, options, random } = context;
  const isHome = shareRole(context, account.organisationName).kind === ShareRoleKind.Home;
  // A few home routers do not contend, and the others need their tokens.
  const periodMs = isHome ? options.settlePeriodMs : totalsPeriodMs(context, account);
  account.ledger.postponeTotals(loop.nowMs() + periodMs * random());
}

/**
 * Accounts that may retry within one backoff period. With more accounts, each waits proportionally longer, so that
 * retries do not use up the write rate. All accounts are woken when the store responds again.
 */
const ACCOUNTS_PER_BACKOFF = 10;

/** Draws, returns and settles tokens: immediately when a request waits, otherwise once per period. */
function* synchronizeAccount(context: GatewayContext, account: LedgerAccount): Task<void> {
  const { loop, options } = context;
  // A random offset keeps routers that started together from conflicting in every period.
  let nextMs = loop.nowMs() + options.settlePeriodMs * context.random();
  let failures = 0;
  while (!context.board.stopped) {
    yield* receive(account.wake, nextMs);
    returnIdleLoans(context, account);
    const change = nextChange(context, account);
    if (change === undefined) {
      nextMs = loop.nearestTickMs(options.settlePeriodMs);
      // No change is possible: waiting requests check the current rows.
      account.rowCheckCount += 1;
      wakeWaiters(context, account);
      continue;
    }
    const outcome = yield* commit(context, account, change);
    failures =
      outcome === LedgerOutcomeKind.Committed || outcome === LedgerOutcomeKind.Conflict ? 0 : failures + 1;
    const backoffMs =
      Math.min(options.storeBackoffMs * 2 ** failures, options.storeBackoffMaxMs) *
      Math.max(1, context.board.accounts.size / ACCOUNTS_PER_BACKOFF);
    nextMs = loop.nowMs() + nextChangeDelayMs(context, account, outcome, backoffMs);
    account.backoffUntilMs = outcome === LedgerOutcomeKind.Committed ? -Infinity : nextMs;
  }
}

function nextChange(context: GatewayContext, account: LedgerAccount): LedgerChange | undefined {
  const { board, loop, options } = context;
  if (board.returningShares && account.waiters.size === 0) {
    return account.ledger.planReturn(mayDraw(board));
  }
  const role = shareRole(context, account.organisationName);
  recordRole(context, account, role.kind);
  const draws = role.kind !== ShareRoleKind.Borrower || loop.nowMs() < account.drawsUntilMs;
  const needs = draws ? [...account.waiters].map(({ tokens }) => tokens) : [];
  return account.ledger.plan(
    {
      budgetTokens: budgetOf(board, account.organisationName),
      neededTokens: needs.reduce((sum, tokens) => sum + tokens, 0),
      leastNeededTokens: needs.length === 0 ? 0 : Math.min(...needs),
      role,
      knownGrant: account.grant,
      mayDraw: mayDraw(board),
      refreshesTotals: role.kind === ShareRoleKind.Home && needsTotals(context, account),
      settlePeriodMs: totalsPeriodMs(context, account),
      nowMs: loop.nowMs(),
    },
    options.sharePlan,
  );
}

/**
 * True if a home router must read the totals again: the budget was cut since, or a request waits for more than what was
 * left, and the store has not shown the totals recently. Without them, it could not report that the budget is used up.
 */
function needsTotals(context: GatewayContext, account: LedgerAccount): boolean {
  const { grant, organisationName, waiters } = account;
  const undrawnTokens = budgetOf(context.board, organisationName) - grant.grantedTokens;
  return (
    isGrantOutdated(context, account) ||
    (!knowsTotals(context, account) && [...waiters].some(({ tokens }) => tokens > undrawnTokens))
  );
}

/** Logs when this router becomes a home router of the organisation or is one no longer. */
function recordRole({ log }: GatewayContext, account: LedgerAccount, roleKind: ShareRoleKind): void {
  const previousKind = account.roleKind;
  if (roleKind === previousKind) {
    return;
  }
  account.roleKind = roleKind;
  if (roleKind === ShareRoleKind.Home || previousKind === ShareRoleKind.Home) {
    log(LogLevel.Info, 'role for the tokens of an organisation changed', {
      organisation: account.organisationName,
      role: roleKind,
      previousRole: previousKind,
      freeTokens: account.ledger.freeTokens,
    });
  }
}

/**
 * Interval at which a router reports spending in the totals; grows with the number of routers that update the row. Draws
 * report it as well, and home routers draw about as often.
 */
function totalsPeriodMs(context: GatewayContext, { organisationName }: LedgerAccount): number {
  const { board, options } = context;
  const role = shareRole(context, organisationName);
  switch (role.kind) {
    case ShareRoleKind.Home:
      return options.homeSettlePeriodMs;
    case ShareRoleKind.Independent:
    case ShareRoleKind.Borrower:
      return Math.max(options.settlePeriodMs, (board.routers.size * 1_000) / options.settlesPerSecond);
  }
}

/** Delay before the next change, depending on the outcome of the last one. */
function nextChangeDelayMs(
  { board, loop, options, random }: GatewayContext,
  account: LedgerAccount,
  outcome: LedgerOutcomeKind,
  backoffMs: number,
): number {
  switch (outcome) {
    case LedgerOutcomeKind.Committed:
      return account.waiters.size > 0 ? options.redrawDelayMs : options.settlePeriodMs;
    case LedgerOutcomeKind.Conflict:
      // Other routers are updating the same rows; the pause lets them finish.
      return options.redrawDelayMs * (1 + random());
    case LedgerOutcomeKind.Rejected:
      // The store is busy or the write rate is used up; an immediate retry would be rejected again.
      return backoffMs * (0.5 + random());
    case LedgerOutcomeKind.Unknown:
      // Retry soon if the store has answered other calls: then only this call was stuck.
      return loop.nowMs() - (board.storeLastReplyAtMs ?? -Infinity) < options.storeHeardRecentlyMs
        ? options.redrawDelayMs * (1 + random())
        : backoffMs * (0.5 + random());
  }
}

/** Commits a change, replans and retries immediately after a conflict, and returns the last outcome. */
function* commit(
  context: GatewayContext,
  account: LedgerAccount,
  first: LedgerChange,
): Task<LedgerOutcomeKind> {
  const { loop, ledgerStore, options } = context;
  let change: LedgerChange | undefined = first;
  for (let tries = 0; change !== undefined && tries < options.ledgerConflictTries; tries += 1) {
    account.ledger.recordSent(change);
    const urgency = changeUrgency(context, account);
    const budgetTokens = budgetOf(context.board, account.organisationName);
    const outcome = yield* loop.settled(ledgerStore.commit(account.organisationName, change, urgency));
    account.ledger.recordOutcome(change, outcome, loop.nowMs());
    logOutcome(context, account, change, outcome.kind);
    const { totalVersion, total } = account.ledger.rows;
    if (change.total !== undefined) {
      recordGrant(context, account, { totalVersion, grantedTokens: total.grantedTokens, budgetTokens });
    }
    switch (outcome.kind) {
      case LedgerOutcomeKind.Committed:
        account.rowCheckCount += 1;
        wakeWaiters(context, account);
        return outcome.kind;
      case LedgerOutcomeKind.Conflict:
        account.rowCheckCount += 1;
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

function changeUrgency({ board }: GatewayContext, { ledger, waiters }: LedgerAccount): ChangeUrgency {
  if (board.returningShares) {
    return ChangeUrgency.BeforeExit;
  }
  return waiters.size > 0 || ledger.isRestoring || !ledger.isWithinLimit
    ? ChangeUrgency.Awaited
    : ChangeUrgency.Deferrable;
}

function logOutcome(
  context: GatewayContext,
  account: LedgerAccount,
  change: LedgerChange,
  outcome: LedgerOutcomeKind,
): void {
  context.metrics.count('pimentostall_budget_changes_total', `outcome="${outcome}"`);
  const own = change.base.share?.incarnationId === change.share.incarnationId ? change.base.share : undefined;
  const drawnTokens = change.share.grantedTokens - (own?.grantedTokens ?? 0);
  context.log(
    outcome === LedgerOutcomeKind.Unknown ? LogLevel.Warn : LogLevel.Debug,
    'budget change attempted',
    {
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
    },
  );
}
