import type { Task } from '@pimentostall/core';
import type { GatewayContext } from '../context.ts';
import { LogLevel } from '../observability/log.ts';
import type { RouterEntry } from '../types.ts';
import type { LedgerAccount } from './account.ts';
import {
  budgetOf,
  isGrantOutdated,
  knowsTotals,
  outstandingTokens,
  settleTokens,
  silentMs,
  wakeWaiters,
} from './account.ts';
import type { BudgetReport } from './budgetSight.ts';
import { loanOfferTokens } from './loanSize.ts';
import { reserveTokens, ReserveOutcomeKind } from './reserveTokens.ts';
import { ShareRoleKind, shareRole } from './shareRole.ts';

export interface LoanRequest {
  /** Unique across all routers and their incarnations. */
  readonly loanId: string;
  readonly organisationName: string;
  /** Smallest loan that is useful to the borrower. */
  readonly leastTokens: number;
  /** Tokens that requests of the borrower wait for; the rest of `wantedTokens` is for later requests. */
  readonly neededTokens: number;
  readonly wantedTokens: number;
}

export interface LoanReply extends BudgetReport {
  /** Tokens that the lender has debited from its share; 0 if it gives none. */
  readonly tokens: number;
  /** Needed to return the loan; undefined for a lender of an older build, which does not take loans back. */
  readonly lenderIncarnationId: string | undefined;
}

/** Cancels a loan whose reply was not received. */
export type LoanCancellation = Pick<LoanRequest, 'loanId' | 'organisationName'>;

/** Gives the unspent tokens of a loan back. */
export interface LoanReturn extends LoanCancellation {
  readonly lenderIncarnationId: string;
  readonly tokens: number;
}

/** Requests, cancels and returns loans of tokens at other routers. */
export interface PeerPort {
  /**
   * Requests a loan. Returns undefined if no reply arrived in time: the loan may have been given, and a late reply is
   * ignored.
   */
  borrow(peer: RouterEntry, request: LoanRequest): Promise<LoanReply | undefined>;
  /** Cancels a loan. Returns false if the peer did not reply. */
  cancel(peer: RouterEntry, cancellation: LoanCancellation): Promise<boolean>;
  /** Returns unspent tokens of a loan. Resolves with false if the peer did not reply; it may have received them. */
  returnLoan(peer: RouterEntry, loanReturn: LoanReturn): Promise<boolean>;
}

/** Period of its own demand that a lender retains, unless it draws in advance for what it lends. */
const DEMAND_RETAINED_MS = 500;
/** Loans that a lender remembers for cancellation; more than it gives while a borrower retries a cancellation. */
const MAX_REMEMBERED_LOANS = 1_024;

/** Revokes a loan that this router has given or is about to give. */
export function revokeLoan(context: GatewayContext, account: LedgerAccount, loanId: string): void {
  const tokens = account.givenLoans.get(loanId) ?? 0;
  rememberLoan(account.givenLoans, loanId, 0);
  if (tokens > 0) {
    // The loan was recorded as spent when it was given.
    account.ledger.receiveLoan(tokens);
    wakeWaiters(context, account);
    context.log(LogLevel.Info, 'loan cancelled by the borrower; tokens returned to the share', {
      loanId,
      organisation: account.organisationName,
      tokens,
    });
  }
}

/**
 * Takes back the unspent tokens of a loan. Each loan is taken back once, and only by the incarnation that gave it: its
 * next one has no record of the loan, and the tokens stay spent.
 */
export function acceptLoanReturn(
  context: GatewayContext,
  account: LedgerAccount,
  { loanId, lenderIncarnationId, tokens }: LoanReturn,
): void {
  const givenTokens = account.givenLoans.get(loanId) ?? 0;
  if (lenderIncarnationId !== context.self.incarnationId || givenTokens === 0) {
    return;
  }
  rememberLoan(account.givenLoans, loanId, 0);
  account.ledger.receiveLoan(Math.min(tokens, givenTokens));
  wakeWaiters(context, account);
}

/** Records a loan, with 0 tokens if it was cancelled or returned, and drops the oldest entries. */
function rememberLoan(loans: Map<string, number>, loanId: string, tokens: number): void {
  loans.delete(loanId);
  loans.set(loanId, tokens);
  for (const oldestId of loans.keys()) {
    if (loans.size <= MAX_REMEMBERED_LOANS) {
      return;
    }
    loans.delete(oldestId);
  }
}

/** Debits a loan from this router's share, drawing tokens if the share has too few. */
export function* lendTokens(
  context: GatewayContext,
  account: LedgerAccount,
  request: LoanRequest,
): Task<LoanReply> {
  const tokens = context.board.returningShares ? 0 : yield* lend(context, account, request);
  if (tokens > 0) {
    context.log(LogLevel.Debug, 'loan given to peer', { ...request, lentTokens: tokens });
  }
  return { tokens, lenderIncarnationId: context.self.incarnationId, ...reportBudget(context, account) };
}

function* lend(context: GatewayContext, account: LedgerAccount, request: LoanRequest): Task<number> {
  const { loop, options } = context;
  const role = shareRole(context, account.organisationName);
  const offeredTokens = offer(context, account, request);
  const isCovered = offeredTokens >= request.neededTokens;
  switch (role.kind) {
    case ShareRoleKind.Borrower:
      // Its draws would contend with those of the home routers.
      return yield* giveLoan(context, account, request, offeredTokens, loop.nowMs());
    case ShareRoleKind.Independent: {
      // If the share cannot spare a useful loan, reserve the full amount; the reservation draws what is missing.
      const tokens = offeredTokens === 0 ? request.wantedTokens : offeredTokens;
      return yield* giveLoan(context, account, request, tokens, loop.nowMs() + options.loanDrawMs);
    }
    case ShareRoleKind.Home: {
      const givenTokens = yield* giveLoan(
        context,
        account,
        request,
        isCovered ? offeredTokens : request.neededTokens,
        loop.nowMs() + options.loanDrawMs,
      );
      // The draw did not complete in time: lend what there is.
      return givenTokens > 0 || isCovered
        ? givenTokens
        : yield* giveLoan(context, account, request, offer(context, account, request), loop.nowMs());
    }
  }
}

/** Tokens that this router can lend now without a draw. */
function offer(context: GatewayContext, account: LedgerAccount, request: LoanRequest): number {
  const { ledger } = account;
  const spendableTokens = ledger.spendableFreeTokens(silentMs(context, account));
  const retainedTokens = ledger.demandTokens(DEMAND_RETAINED_MS, context.loop.nowMs());
  switch (shareRole(context, account.organisationName).kind) {
    case ShareRoleKind.Home:
      return loanOfferTokens({ ...request, lendableTokens: spendableTokens });
    case ShareRoleKind.Borrower:
      return loanOfferTokens({ ...request, lendableTokens: spendableTokens - retainedTokens });
    case ShareRoleKind.Independent:
      return loanOfferTokens({
        ...request,
        neededTokens: request.wantedTokens,
        lendableTokens: spendableTokens - retainedTokens,
      });
  }
}

/** Returns the tokens lent; 0 if they could not be reserved or the loan was cancelled in the meantime. */
function* giveLoan(
  context: GatewayContext,
  account: LedgerAccount,
  { loanId }: LoanRequest,
  tokens: number,
  waitUntilMs: number,
): Task<number> {
  if (tokens <= 0) {
    return 0;
  }
  const outcome = yield* reserveTokens(context, account, tokens, {
    waitUntilMs: () => waitUntilMs,
    forLoan: true,
  });
  if (outcome !== ReserveOutcomeKind.Reserved) {
    return 0;
  }
  if (account.givenLoans.has(loanId)) {
    // The loan was cancelled while tokens were being drawn for it.
    settleTokens(context, account, tokens, 0);
    return 0;
  }
  settleTokens(context, account, tokens, tokens);
  rememberLoan(account.givenLoans, loanId, tokens);
  if (shareRole(context, account.organisationName).kind === ShareRoleKind.Home) {
    // A home router draws in advance for what it lends. Only loans that were given count as demand, so
    // that the available tokens bound it.
    account.ledger.recordDemand(tokens, context.loop.nowMs());
  }
  return tokens;
}

/** What this router knows of the budget; only home routers follow the totals closely enough. */
function reportBudget(context: GatewayContext, account: LedgerAccount): BudgetReport {
  const { ledger } = account;
  const isHome = shareRole(context, account.organisationName).kind === ShareRoleKind.Home;
  const budgetTokens = budgetOf(context.board, account.organisationName);
  const outstanding = outstandingTokens(context, account);
  const isKnown = isHome && knowsTotals(context, account);
  return {
    undrawnTokens: isKnown ? Math.max(0, budgetTokens - ledger.rows.total.grantedTokens) : undefined,
    heldTokens: Math.max(0, ledger.freeTokens),
    remainingTokens: isKnown
      ? Math.max(0, budgetTokens - ledger.rows.total.settledTokens + outstanding)
      : undefined,
    outstandingTokens: outstanding,
    grant: isGrantOutdated(context, account) ? account.grant : { ...account.grant, budgetTokens },
  };
}
