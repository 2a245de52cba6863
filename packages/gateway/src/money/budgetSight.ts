import type { KnownGrant } from './knownGrant.ts';

/** What a lender reports of a budget together with a loan or a refusal. */
export interface BudgetReport {
  /** Tokens of the budget that no router has drawn; undefined if the store does not reply to the lender. */
  readonly undrawnTokens: number | undefined;
  /** Tokens that the lender holds and that become spendable, at the latest when they are released in an outage. */
  readonly heldTokens: number;
  /**
   * Upper bound of the tokens that are not spent, wherever they lie, loans included; undefined if the lender does not
   * know it.
   */
  readonly remainingTokens: number | undefined;
  /** Upper bound of the tokens that lie unspent with borrowers, as the lender measures the demand. */
  readonly outstandingTokens: number;
  /** How much of the budget is drawn, as the lender knows it; undefined for a lender of an older build. */
  readonly grant: KnownGrant | undefined;
}

export interface BudgetSight extends BudgetReport {
  /** Monotonic time at which the report was received. */
  readonly receivedAtMs: number;
}

/** Age from which a report says nothing about the budget any more. */
const MAX_SIGHT_AGE_MS = 1_500;

/**
 * Returns what is known after another report. One without the totals, for example of a router that is not a home router,
 * does not replace a recent one with them.
 */
export function newerSight(
  sight: BudgetSight | undefined,
  report: BudgetReport,
  nowMs: number,
): BudgetSight | undefined {
  const saysNothing = report.undrawnTokens === undefined && report.heldTokens === 0;
  const hasTotals = sight?.remainingTokens !== undefined && nowMs - sight.receivedAtMs < MAX_SIGHT_AGE_MS;
  return saysNothing || (hasTotals && report.remainingTokens === undefined)
    ? sight
    : { ...report, receivedAtMs: nowMs };
}

/** Returns true if a lender has recently reported that the tokens can be drawn or are released soon. */
export function areTokensExpected(sight: BudgetSight | undefined, tokens: number, nowMs: number): boolean {
  return (
    sight !== undefined &&
    nowMs - sight.receivedAtMs < MAX_SIGHT_AGE_MS &&
    Math.max(0, sight.undrawnTokens ?? 0) + sight.heldTokens >= tokens
  );
}

/**
 * Returns true if a lender has recently reported that the budget cannot cover the tokens. A report that was made under a
 * lower budget than the current one says nothing.
 */
export function isKnownExhausted(
  sight: BudgetSight | undefined,
  tokens: number,
  budgetTokens: number,
  nowMs: number,
): boolean {
  return (
    sight?.remainingTokens !== undefined &&
    nowMs - sight.receivedAtMs < MAX_SIGHT_AGE_MS &&
    (sight.grant === undefined || sight.grant.budgetTokens >= budgetTokens) &&
    sight.remainingTokens < tokens
  );
}
