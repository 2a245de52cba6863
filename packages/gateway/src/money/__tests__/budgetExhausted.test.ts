import assert from 'node:assert/strict';
import { test } from 'node:test';
import { seededRandom } from '@pimentostall/core';
import { ReserveOutcomeKind } from '../reserveTokens.ts';
import { LoadedFleet } from './loadedFleet.ts';

/** Enough for home routers, see MIN_LARGE_FLEET in routerRegistry.ts. */
const ROUTERS = 30;
const ORGANISATION = 'school';
const BUDGET_TOKENS = 1_500_000;
const REQUEST_PAUSE_MS = 15;
const SMALL_REQUEST_TOKENS = 3_000;
/** More than two seconds of the demand, which may lie with borrowers. */
const LARGE_REQUEST_TOKENS = 600_000;

function createFleet(seed: number): LoadedFleet {
  return new LoadedFleet({
    routerCount: ROUTERS,
    budgets: new Map([[ORGANISATION, BUDGET_TOKENS]]),
    random: seededRandom(seed),
  });
}

function request(fleet: LoadedFleet, index: number, tokens: number): void {
  fleet.request(index, ORGANISATION, {
    tokens,
    spentTokens: Math.floor(tokens * 0.8),
    targetMs: 1_000,
    durationMs: 300,
  });
}

/** Sends requests until the budget is used up. */
async function useUp(fleet: LoadedFleet, random: () => number): Promise<void> {
  await fleet.timeline.advance(2_000, fleet.checkBudgets);
  for (let count = 0; count < 1_000; count += 1) {
    const tokens = Math.floor(SMALL_REQUEST_TOKENS * (0.3 + 1.4 * random()));
    request(fleet, Math.floor(random() * ROUTERS), tokens);
    await fleet.timeline.advance(REQUEST_PAUSE_MS, fleet.checkBudgets);
  }
}

for (const seed of [1, 2, 3, 4]) {
  test(`no request gets a 402 while the rest of the budget covers it (seed ${seed})`, async () => {
    // Guards against lenders that report loans as spent that lie unspent with the borrowers.
    const fleet = createFleet(seed);
    await useUp(fleet, seededRandom(seed + 100));
    const exhausted = fleet.log.filter(({ outcome }) => outcome === ReserveOutcomeKind.BudgetExhausted);
    assert.deepEqual(exhausted, []);
  });
}

test('a request beyond the rest of the budget and all possible loans gets a 402 at each router', async () => {
  // Guards against an allowance for loans after which no request is told that the budget is used up.
  const fleet = createFleet(5);
  await useUp(fleet, seededRandom(105));
  await fleet.timeline.advance(3_000, fleet.checkBudgets);
  // Home routers report what remains only if they have read the totals in the last seconds; this request causes it.
  request(fleet, 0, LARGE_REQUEST_TOKENS);
  await fleet.timeline.advance(1_000, fleet.checkBudgets);
  fleet.outcomes.clear();
  for (let index = 0; index < ROUTERS; index += 1) {
    request(fleet, index, LARGE_REQUEST_TOKENS);
    await fleet.timeline.advance(300, fleet.checkBudgets);
  }
  await fleet.timeline.advance(1_500, fleet.checkBudgets);
  assert.deepEqual([...fleet.outcomes], [[ReserveOutcomeKind.BudgetExhausted, ROUTERS]]);
});
