/** Time without a request after which a borrower returns what is left of its loans. */
export const IDLE_LOAN_MS = 2_000;
/** Fraction of a typical request below which the rest of a loan is not worth a call. */
const MIN_RETURN_FRACTION = 0.25;

export interface HeldLoan {
  readonly loanId: string;
  readonly tokens: number;
}

export interface LoanReturnInput<Loan extends HeldLoan> {
  /** Loans received since the last return, oldest first. */
  readonly loans: readonly Loan[];
  readonly freeTokens: number;
  readonly averageRequestTokens: number;
}

/**
 * Returns the loans of an idle borrower with the tokens to give back, so that an organisation that stops at one router can
 * use its tokens at another. Tokens of different loans are interchangeable; the newest loans count as unspent.
 */
export function planLoanReturns<Loan extends HeldLoan>({
  loans,
  freeTokens,
  averageRequestTokens,
}: LoanReturnInput<Loan>): { readonly loan: Loan; readonly tokens: number }[] {
  let restTokens = Math.floor(freeTokens);
  const returns: { loan: Loan; tokens: number }[] = [];
  for (const loan of loans.toReversed()) {
    const tokens = Math.min(loan.tokens, restTokens);
    if (tokens > 0 && tokens >= averageRequestTokens * MIN_RETURN_FRACTION) {
      returns.push({ loan, tokens });
      restTokens -= tokens;
    }
  }
  return returns;
}
