import type { Task } from '@pimentostall/core';
import type { GatewayContext } from '../context.ts';
import { LogLevel } from '../observability/log.ts';
import type { RouterEntry } from '../types.ts';
import type { LedgerAccount } from './account.ts';
import type { LoanReturn } from './lending.ts';
import type { HeldLoan } from './loanReturn.ts';
import { IDLE_LOAN_MS, planLoanReturns } from './loanReturn.ts';
import { ShareRoleKind, shareRole } from './shareRole.ts';

/** Loans that a borrower remembers for their return; it holds one or two at a time. */
const MAX_HELD_LOANS = 16;

/** A loan that this router has received. */
export interface ReceivedLoan extends HeldLoan {
  readonly lender: RouterEntry;
  /** Incarnation that has recorded the loan as spent; another one must not take it back. */
  readonly lenderIncarnationId: string;
}

/** Remembers a loan for its return. */
export function rememberReceivedLoan(account: LedgerAccount, loan: ReceivedLoan): void {
  account.receivedLoans = [...account.receivedLoans, loan].slice(-MAX_HELD_LOANS);
}

/**
 * Gives the rest of the loans of an idle borrower back to their lenders. The tokens are debited here before the call, and
 * each loan is returned at most once, so that a lost call or reply never duplicates tokens; they are then lost.
 */
export function returnIdleLoans(context: GatewayContext, account: LedgerAccount): void {
  const { board, loop } = context;
  const { ledger, organisationName, receivedLoans } = account;
  if (
    receivedLoans.length === 0 ||
    account.borrowing ||
    account.waiters.size > 0 ||
    ledger.reserved > 0 ||
    loop.nowMs() - ledger.lastDemandAtMs < IDLE_LOAN_MS ||
    board.draining ||
    shareRole(context, organisationName).kind !== ShareRoleKind.Borrower
  ) {
    return;
  }
  const returns = planLoanReturns({
    // The tokens of a lender that has ended stay here for the next request.
    loans: receivedLoans.filter(({ lender, lenderIncarnationId }) => {
      const entry = board.routers.get(lender.routerId)?.entry;
      return entry?.ready === true && entry.incarnationId === lenderIncarnationId;
    }),
    freeTokens: ledger.freeTokens,
    averageRequestTokens: ledger.averageTokens,
  });
  account.receivedLoans = [];
  for (const { loan, tokens } of returns) {
    ledger.giveBackLoan(tokens);
    loop.spawn('return loan', returnLoan(context, account, loan, tokens));
  }
}

function* returnLoan(
  context: GatewayContext,
  { organisationName }: LedgerAccount,
  { loanId, lender, lenderIncarnationId }: ReceivedLoan,
  tokens: number,
): Task<void> {
  const loanReturn: LoanReturn = { loanId, organisationName, lenderIncarnationId, tokens };
  const isAnswered = yield* context.loop.settled(context.peerPort.returnLoan(lender, loanReturn));
  context.metrics.count(
    'pimentostall_loans_returned_total',
    `outcome="${isAnswered ? 'answered' : 'no-reply'}"`,
  );
  context.log(isAnswered ? LogLevel.Debug : LogLevel.Warn, 'unused loan returned to its lender', {
    ...loanReturn,
    peer: lender.routerId,
    isAnswered,
  });
}
