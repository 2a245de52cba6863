/** Time for which a loan covers the borrower's demand, so that all borrowers hold at most this much of the demand. */
const LOAN_HORIZON_MS = 2_000;
/** Fraction of the target below which a borrower requests the next loan before its tokens run out. */
const REFILL_FRACTION = 0.5;
/**
 * Fraction of its free tokens that a lender gives beyond the need of one borrower. Loans become smaller as its tokens
 * become scarce, so that the rest of a budget is not scattered over many borrowers.
 */
const SPARE_FRACTION = 0.1;

export interface LoanTargetInput {
  /** Tokens that this router's own requests ask for in a second, at the recent rate. */
  readonly demandTokensPerSecond: number;
  readonly averageRequestTokens: number;
}

/**
 * Returns the free tokens that a borrower keeps on loan; 0 if they would not cover a typical request. The sum over all
 * borrowers is at most two seconds of the organisation's demand, which are lost if all of them are killed.
 */
export function loanTargetTokens({ demandTokensPerSecond, averageRequestTokens }: LoanTargetInput): number {
  const targetTokens = Math.floor((demandTokensPerSecond * LOAN_HORIZON_MS) / 1_000);
  return targetTokens < averageRequestTokens ? 0 : targetTokens;
}

/** Returns the tokens to borrow before any request waits for them; 0 if enough are left. */
export function prefetchTokens(targetTokens: number, freeTokens: number): number {
  return freeTokens < targetTokens * REFILL_FRACTION ? Math.ceil(targetTokens - freeTokens) : 0;
}

export interface LoanOfferInput {
  /** Tokens that the lender can spend now, minus what it keeps for itself. */
  readonly lendableTokens: number;
  /** Smallest loan that is useful to the borrower. */
  readonly leastTokens: number;
  /** Tokens that requests of the borrower wait for. */
  readonly neededTokens: number;
  readonly wantedTokens: number;
}

/** Returns the tokens to lend; 0 if the lender has too few for a useful loan. */
export function loanOfferTokens({
  lendableTokens,
  leastTokens,
  neededTokens,
  wantedTokens,
}: LoanOfferInput): number {
  const offeredTokens = Math.min(
    Math.floor(lendableTokens),
    Math.max(neededTokens, Math.min(wantedTokens, Math.floor(lendableTokens * SPARE_FRACTION))),
  );
  return offeredTokens < leastTokens ? 0 : offeredTokens;
}
