export interface SharePlanOptions {
  /** Time for which a share lasts at the present demand: a store outage of eight seconds with a burst. */
  readonly horizonMs: number;
  /** Part of the money left that all routers together may hold, by their parts of the demand. */
  readonly heldFraction: number;
  /** Part of the target below which a share is filled up: each draw changes the row that all routers change. */
  readonly refillPart: number;
  /** Free tokens above the target by this factor flow back while the budget is scarce. */
  readonly returnFactor: number;
  /** The same while it is not: the target of a router with a request every few seconds moves by this much. */
  readonly looseReturnFactor: number;
  /** Part of what all routers may hold from which the budget counts as scarce. */
  readonly scarceHeldPart: number;
  /**
   * Time for which the limit of a share lasts at the present demand: until a share opens in the silence of the
   * store. What lies within the limit is lost when all routers are killed; a larger request raises it at once.
   */
  readonly limitHorizonMs: number;
  /** Times its demand at which a share opens in the silence of the store: bursts of one organisation reach 2.5. */
  readonly releaseDemandFactor: number;
}

export const DEFAULT_SHARE_PLAN: SharePlanOptions = {
  horizonMs: 14_000,
  heldFraction: 0.6,
  refillPart: 0.75,
  returnFactor: 1.3,
  looseReturnFactor: 3,
  scarceHeldPart: 0.6,
  limitHorizonMs: 1_200,
  releaseDemandFactor: 2.5,
};

export interface SharePlanInput {
  /** Tokens of the share that are neither spent nor reserved. */
  readonly freeTokens: number;
  /** Tokens that waiting requests need beyond what is free. */
  readonly neededTokens: number;
  /** The least of these that serves a request; 0 if none waits. */
  readonly leastNeededTokens: number;
  /** Usual reservation of late: a share that cannot hold one serves nobody. */
  readonly usualRequestTokens: number;
  /** Largest reservation seen of late; a share holds at least one of them. */
  readonly largestRequestTokens: number;
  /** False for a router that borrows for each request instead (homeRouters.ts). */
  readonly drawsAhead: boolean;
  /** This router's demand. */
  readonly demandTokensPerSecond: number;
  /** This router's part of the organisation's demand, 0 to 1. */
  readonly demandPart: number;
  /** The organisation's budget in force. */
  readonly budgetTokens: number;
  /** Tokens debited from the budget by all routers. */
  readonly grantedTokens: number;
  /** Tokens that no router has spent or lost. */
  readonly leftTokens: number;
  /** Part of these that lies in shares, used or not. */
  readonly heldTokens: number;
}

/**
 * Tokens to draw (positive) or to return (negative). Answers load that runs on while the store is away: a share
 * lasts for the horizon, but never takes more than this router's part of what is left.
 */
export function planShare(input: SharePlanInput, options: SharePlanOptions): number {
  const { freeTokens, neededTokens, grantedTokens, budgetTokens } = input;
  const room = budgetTokens - grantedTokens;
  if (room < 0) {
    // The budget was cut below what is drawn: what is free goes back first.
    return -Math.min(freeTokens, -room);
  }
  const horizonTokens = (input.demandTokensPerSecond * options.horizonMs) / 1_000;
  const wanted = horizonTokens + input.largestRequestTokens;
  const cap = input.leftTokens * options.heldFraction * input.demandPart;
  const affordable = Math.floor(Math.min(wanted, Math.max(cap, 0)));
  // Near the end of a budget, fragments at many routers add up to requests at one: they draw for each request.
  const target = affordable < input.usualRequestTokens || !input.drawsAhead ? 0 : affordable;
  const heldLimit = Math.max(0, input.leftTokens * options.heldFraction);
  const lacking = freeTokens < target * options.refillPart || neededTokens > 0 ? target - freeTokens : 0;
  const missing = Math.min(Math.max(lacking, 0), Math.max(0, heldLimit - input.heldTokens));
  const draw = Math.floor(Math.min(Math.max(missing, Math.ceil(neededTokens)), room));
  if (draw > 0) {
    // A draw that serves no waiting request would only keep the tokens from other routers.
    return draw >= input.leastNeededTokens ? draw : 0;
  }
  // The routers' views of the demand differ, so their targets may add up to more than they may hold.
  const fairTarget = Math.floor(Math.min(target, (freeTokens * heldLimit) / Math.max(input.heldTokens, 1)));
  const excess = freeTokens - fairTarget;
  const scarce = input.heldTokens > heldLimit * options.scarceHeldPart;
  if (!scarce && freeTokens <= input.largestRequestTokens) {
    // What is left of a loan serves the next request.
    return 0;
  }
  const returnFactor = scarce ? options.returnFactor : options.looseReturnFactor;
  return freeTokens > fairTarget * returnFactor && neededTokens === 0 ? -excess : 0;
}
