import assert from 'node:assert/strict';
import { test } from 'node:test';
import { seededRandom } from '@pimentostall/core';
import { LoadedFleet } from './loadedFleet.ts';

/** Enough for home routers, see MIN_LARGE_FLEET in routerRegistry.ts. */
const ROUTERS = 24;
const ORGANISATION = 'school';
const BUDGET_TOKENS = 6_000_000;
const REQUEST_TOKENS = 3_000;
const REQUEST_PAUSE_MS = 20;

function createFleet(seed: number): LoadedFleet {
  return new LoadedFleet({
    routerCount: ROUTERS,
    budgets: new Map([[ORGANISATION, BUDGET_TOKENS]]),
    random: seededRandom(seed),
  });
}

/** Sends requests to all routers in turn. */
async function send(fleet: LoadedFleet, durationMs: number): Promise<void> {
  for (let atMs = 0; atMs < durationMs; atMs += REQUEST_PAUSE_MS) {
    fleet.request((atMs / REQUEST_PAUSE_MS) % ROUTERS, ORGANISATION, {
      tokens: REQUEST_TOKENS,
      spentTokens: REQUEST_TOKENS,
      targetMs: 1_000,
      durationMs: 300,
    });
    await fleet.timeline.advance(REQUEST_PAUSE_MS, fleet.checkBudgets);
  }
}

for (const seed of [1, 2, 3]) {
  test(`no router spends tokens of a budget that was cut below what is spent (seed ${seed})`, async () => {
    // Guards against borrowers that do not know the totals and spend their loans after the cut.
    const fleet = createFleet(seed);
    await fleet.timeline.advance(2_000, fleet.checkBudgets);
    await send(fleet, 6_000);
    const spentTokens = fleet.organisations.get(ORGANISATION)?.spentTokens ?? 0;
    const servedBefore = fleet.servedCount;
    fleet.setBudget(ORGANISATION, Math.floor(spentTokens * 0.9));
    await send(fleet, 4_000);
    assert.equal(fleet.servedCount, servedBefore);
  });

  test(`no router exceeds a budget that was cut below what is drawn, and the rest is usable (seed ${seed})`, async () => {
    // Guards against loans and shares that are spent although others were spent already, and against routers that stay
    // overdrawn after the tokens have been returned.
    const fleet = createFleet(seed);
    await fleet.timeline.advance(2_000, fleet.checkBudgets);
    await send(fleet, 6_000);
    const spentTokens = fleet.organisations.get(ORGANISATION)?.spentTokens ?? 0;
    const grantedTokens = fleet.store.total(ORGANISATION).grantedTokens;
    const budgetTokens = spentTokens + 150 * REQUEST_TOKENS;
    assert.ok(budgetTokens < grantedTokens, `${grantedTokens} tokens were drawn`);
    const servedBefore = fleet.servedCount;
    fleet.setBudget(ORGANISATION, budgetTokens);
    await send(fleet, 8_000);
    assert.ok(
      fleet.servedCount - servedBefore >= 100,
      `${fleet.servedCount - servedBefore} requests were served`,
    );
  });

  test(`a cut that leaves most of the budget causes no refusal (seed ${seed})`, async () => {
    // Guards against borrowers that refuse requests while they learn whether the budget is overdrawn.
    const fleet = createFleet(seed);
    await fleet.timeline.advance(2_000, fleet.checkBudgets);
    await send(fleet, 4_000);
    fleet.setBudget(ORGANISATION, BUDGET_TOKENS * 0.9);
    await send(fleet, 4_000);
    assert.equal(fleet.refusals.falseCount + fleet.refusals.trueCount, 0);
  });
}
