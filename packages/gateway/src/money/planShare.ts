export interface SharePlanOptions {
  /** Time for which a share covers the current demand; sized for a store outage of eight seconds with a burst. */
  readonly horizonMs: number;
  /**
   * The same for a home router. Longer, because the demand of its region is only assumed at the start of traffic, and may
   * be a third higher.
   */
  readonly homeHorizonMs: number;
  /** Fraction of the remaining tokens that all routers together may hold, divided by their demand. */
  readonly heldFraction: number;
  /** Fraction of the target below which a share is refilled; each draw updates the row that all routers contend for. */
  readonly refillFraction: number;
  /** While the budget is scarce, a share returns tokens once its free tokens exceed the target by this factor. */
  readonly returnFactor: number;
  /** The same while it is not scarce; the target of a router with a request every few seconds varies this much. */
  readonly looseReturnFactor: number;
  /** Fraction of the tokens that all routers may hold above which the budget counts as scarce. */
  readonly scarceHeldFraction: number;
  /**
   * Time for which the limit of a share covers the current demand: until tokens beyond the limit are released in a
   * store outage. Unspent tokens within the limit are stranded when all routers are killed. A request that needs more
   * raises the limit immediately.
   */
  readonly limitHorizonMs: number;
  /**
   * The same for a home router, which raises its limits for a whole region; longer, so that each organisation needs about
   * one raise per second. All home routers together strand this much demand when they are killed.
   */
  readonly homeLimitHorizonMs: number;
  /** Release rate during a store outage as a multiple of the demand; bursts of one organisation reach 2.5. */
  readonly releaseDemandFactor: number;
}

export const DEFAULT_SHARE_PLAN: SharePlanOptions = {
  horizonMs: 14_000,
  homeHorizonMs: 18_000,
  heldFraction: 0.6,
  refillFraction: 0.75,
  returnFactor: 1.3,
  looseReturnFactor: 3,
  scarceHeldFraction: 0.6,
  limitHorizonMs: 1_200,
  homeLimitHorizonMs: 1_800,
  releaseDemandFactor: 2.5,
};

export interface SharePlanInput {
  /** Tokens of the share that are neither spent nor reserved. */
  readonly freeTokens: number;
  /** Tokens that waiting requests need in addition to the free tokens. */
  readonly neededTokens: number;
  /** Smallest additional amount that is enough for one waiting request; 0 if none waits. */
  readonly leastNeededTokens: number;
  /** Moving average of recent reservation sizes; a share smaller than this cannot serve a typical request. */
  readonly averageRequestTokens: number;
  /** Decaying maximum of recent reservation sizes; the target of a share includes one of this size. */
  readonly largestRequestTokens: number;
  /** False for a router that lives on loans (see shareRole.ts). */
  readonly drawsInAdvance: boolean;
  readonly demandTokensPerSecond: number;
  /** Time for which the share is to cover the demand. */
  readonly horizonMs: number;
  /** This router's fraction of the organisation's demand, 0 to 1. */
  readonly demandFraction: number;
  /** The organisation's current budget. */
  readonly budgetTokens: number;
  /** Tokens debited from the budget by all routers. */
  readonly grantedTokens: number;
  /** Tokens that are neither settled nor stranded. */
  readonly remainingTokens: number;
  /** Part of `remainingTokens` that has been drawn into shares, including spent tokens that are not yet settled. */
  readonly heldTokens: number;
}

/**
 * Tokens to draw (positive) or to return (negative). The target covers the demand of the horizon, so that requests can
 * be served during a store outage, but is at most this router's fraction of the remaining tokens.
 */
export function planShare(input: SharePlanInput, options: SharePlanOptions): number {
  const { freeTokens, neededTokens, grantedTokens, budgetTokens } = input;
  const undrawnTokens = budgetTokens - grantedTokens;
  if (undrawnTokens < 0) {
    // The budget was reduced below the drawn amount: return free tokens first.
    return -Math.min(freeTokens, -undrawnTokens);
  }
  const horizonTokens = (input.demandTokensPerSecond * input.horizonMs) / 1_000;
  const wanted = horizonTokens + input.largestRequestTokens;
  const cap = input.remainingTokens * options.heldFraction * input.demandFraction;
  const affordable = Math.floor(Math.min(wanted, Math.max(cap, 0)));
  // When the budget is nearly exhausted, remainders too small for a request would be scattered over many routers, so
  // shares are not kept and each request draws for itself.
  const target = affordable < input.averageRequestTokens || !input.drawsInAdvance ? 0 : affordable;
  const heldLimit = Math.max(0, input.remainingTokens * options.heldFraction);
  const deficitTokens =
    freeTokens < target * options.refillFraction || neededTokens > 0 ? target - freeTokens : 0;
  const missing = Math.min(Math.max(deficitTokens, 0), Math.max(0, heldLimit - input.heldTokens));
  const draw = Math.floor(Math.min(Math.max(missing, Math.ceil(neededTokens)), undrawnTokens));
  if (draw > 0) {
    // A draw too small for any waiting request would only withhold the tokens from other routers.
    return draw >= input.leastNeededTokens ? draw : 0;
  }
  // Routers see the demand differently, so the sum of their targets may exceed what they may hold together.
  const fairTarget = Math.floor(Math.min(target, (freeTokens * heldLimit) / Math.max(input.heldTokens, 1)));
  const excess = freeTokens - fairTarget;
  const scarce = input.heldTokens > heldLimit * options.scarceHeldFraction;
  if (!scarce && freeTokens <= input.largestRequestTokens) {
    // Keep the rest of a loan for the next request.
    return 0;
  }
  const returnFactor = scarce ? options.returnFactor : options.looseReturnFactor;
  return freeTokens > fairTarget * returnFactor && neededTokens === 0 ? -excess : 0;
}
