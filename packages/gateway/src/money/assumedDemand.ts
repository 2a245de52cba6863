/**
 * Fraction of a budget that all routers together are assumed to use per second until their demand is known, so that
 * the first router to draw leaves enough for the others. At this rate, a daily budget lasts about a minute.
 */
export const PRIOR_DEMAND_PER_SECOND = 0.016;
/** Time from an organisation's first request within which its measured demand replaces the assumed one. */
const FADE_MS = 20_000;
/** Fraction of the assumed demand that a home router retains for an organisation with little demand. */
const MIN_ASSUMED_FRACTION = 0.25;

export interface AssumedDemandInput {
  readonly budgetTokens: number;
  /** Number of home routers among which the demand is divided. */
  readonly homeCount: number;
  /** Time since the router's first request or loan of the organisation; undefined before it. */
  readonly sinceFirstDemandMs: number | undefined;
  /** Demand that the router has measured. */
  readonly measuredTokensPerSecond: number;
}

/**
 * Returns the demand in tokens per second for which a home router draws. Answers the load of the start of traffic: the
 * tokens are drawn before the first request, by a few routers, instead of by all routers at once. The measured demand
 * applies if it is higher, and alone after some time, except for a small rest for organisations that pause.
 */
export function homeDemandPerSecond({
  budgetTokens,
  homeCount,
  sinceFirstDemandMs,
  measuredTokensPerSecond,
}: AssumedDemandInput): number {
  const assumedTokensPerSecond = (budgetTokens * PRIOR_DEMAND_PER_SECOND) / Math.max(1, homeCount);
  const fraction = Math.max(MIN_ASSUMED_FRACTION, 1 - (sinceFirstDemandMs ?? 0) / FADE_MS);
  return Math.max(measuredTokensPerSecond, assumedTokensPerSecond * fraction);
}
