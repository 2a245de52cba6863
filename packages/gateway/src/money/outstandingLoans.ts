/** Time for which loans cover the organisation's demand; all borrowers together hold no more, see loanSize.ts. */
const LOAN_HORIZON_MS = 2_000;
/** Least fraction of a budget that may lie with borrowers; the demand of an organisation is measured late in a burst. */
const MIN_OUTSTANDING_FRACTION = 0.03;

export interface OutstandingLoansInput {
  readonly budgetTokens: number;
  /** Demand of the organisation at all routers, as far as this router measures it. */
  readonly fleetDemandTokensPerSecond: number;
}

/**
 * Returns an upper bound of the tokens that borrowers hold unspent. Lenders have reported them as spent, so that this much
 * more than the totals show may be left of the budget.
 */
export function outstandingLoanTokens({
  budgetTokens,
  fleetDemandTokensPerSecond,
}: OutstandingLoansInput): number {
  return Math.ceil(
    Math.max((fleetDemandTokensPerSecond * LOAN_HORIZON_MS) / 1_000, budgetTokens * MIN_OUTSTANDING_FRACTION),
  );
}
