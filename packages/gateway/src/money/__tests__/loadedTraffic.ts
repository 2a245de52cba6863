import type { RandomSource } from '@pimentostall/core';
import { LoadedFleet } from './loadedFleet.ts';

export const ROUTERS = 58;
export const ORGANISATIONS = 24;
const REQUESTS_PER_SECOND = 300;
const MIN_REQUEST_TOKENS = 1_500;
const MAX_REQUEST_TOKENS = 30_000;
const SIZE_RATIO = MAX_REQUEST_TOKENS / MIN_REQUEST_TOKENS;
/** Mean of sizes that are spread evenly on a logarithmic scale. */
const MEAN_REQUEST_TOKENS = (MAX_REQUEST_TOKENS - MIN_REQUEST_TOKENS) / Math.log(SIZE_RATIO);
/** Requests spend between this fraction and all of what they reserve. */
const MIN_SPENT_FRACTION = 0.8;
const MEAN_SPENT_FRACTION = (MIN_SPENT_FRACTION + 1) / 2;
/** Seconds of demand that a budget covers. */
const BUDGET_SECONDS = 1.3 * 34;
const RESPONSE_MS = 700;
const MIN_TARGET_MS = 800;
const MAX_TARGET_MS = 1_500;

/** Fractions of the load; they fall with the rank, and the first organisation has about a quarter. */
const RANK_SUM = Array.from({ length: ORGANISATIONS }, (_, rank) => 1 / (rank + 1)).reduce(
  (sum, weight) => sum + weight,
);

export const organisationAt = (rank: number): string => `organisation-${rank}`;

export function createLoadedFleet(random: RandomSource): LoadedFleet {
  const tokensPerSecond = REQUESTS_PER_SECOND * MEAN_REQUEST_TOKENS * MEAN_SPENT_FRACTION;
  const budgets = new Map(
    Array.from({ length: ORGANISATIONS }, (_, rank) => [
      organisationAt(rank),
      Math.round((BUDGET_SECONDS * tokensPerSecond) / (rank + 1) / RANK_SUM),
    ]),
  );
  return new LoadedFleet({ routerCount: ROUTERS, budgets, random });
}

export interface Traffic {
  readonly fleet: LoadedFleet;
  readonly random: RandomSource;
}

/** Sends requests for a time to random routers that accept them; budgets are checked after each event. */
export async function sendTraffic(
  { fleet, random }: Traffic,
  durationMs: number,
  chooseRank: () => number = () => randomRank(random),
): Promise<void> {
  const requests = Math.round((durationMs * REQUESTS_PER_SECOND) / 1_000);
  for (let request = 0; request < requests; request += 1) {
    const tokens = Math.round(MIN_REQUEST_TOKENS * SIZE_RATIO ** random());
    const spentFraction = MIN_SPENT_FRACTION + (1 - MIN_SPENT_FRACTION) * random();
    fleet.request(randomAcceptingRouter(fleet, random), organisationAt(chooseRank()), {
      tokens,
      spentTokens: Math.floor(tokens * spentFraction),
      targetMs: MIN_TARGET_MS + (MAX_TARGET_MS - MIN_TARGET_MS) * random(),
      durationMs: RESPONSE_MS,
    });
    await fleet.timeline.advance(1_000 / REQUESTS_PER_SECOND, fleet.checkBudgets);
  }
}

export function randomRank(random: RandomSource): number {
  let rest = random() * RANK_SUM;
  for (let rank = 0; rank < ORGANISATIONS; rank += 1) {
    rest -= 1 / (rank + 1);
    if (rest <= 0) {
      return rank;
    }
  }
  return ORGANISATIONS - 1;
}

function randomAcceptingRouter(fleet: LoadedFleet, random: RandomSource): number {
  for (;;) {
    const index = Math.floor(random() * ROUTERS);
    const context = fleet.contextOf(index);
    if (context !== undefined && !context.board.draining) {
      return index;
    }
  }
}
