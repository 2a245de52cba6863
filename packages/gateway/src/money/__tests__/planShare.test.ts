import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { SharePlanInput } from '../planShare.ts';
import { DEFAULT_SHARE_PLAN, planShare } from '../planShare.ts';

const INPUT: SharePlanInput = {
  freeTokens: 0,
  neededTokens: 0,
  leastNeededTokens: 0,
  averageRequestTokens: 1_000,
  largestRequestTokens: 2_000,
  drawsInAdvance: true,
  demandTokensPerSecond: 5_000,
  horizonMs: DEFAULT_SHARE_PLAN.horizonMs,
  demandFraction: 0.5,
  budgetTokens: 100_000,
  grantedTokens: 0,
  remainingTokens: 100_000,
  heldTokens: 0,
};
const plan = (change: Partial<SharePlanInput>): number =>
  planShare({ ...INPUT, ...change }, DEFAULT_SHARE_PLAN);

test('routers whose demand fractions add up to more than 1 leave a part of the budget undrawn', () => {
  let grantedTokens = 0;
  for (let router = 0; router < 9; router += 1) {
    grantedTokens += plan({ grantedTokens, heldTokens: grantedTokens });
  }
  assert.ok(
    grantedTokens <= DEFAULT_SHARE_PLAN.heldFraction * INPUT.budgetTokens,
    `${grantedTokens} tokens are drawn`,
  );
});

test('a waiting request draws beyond the held fraction, but not beyond the budget', () => {
  const held = { grantedTokens: 90_000, heldTokens: 90_000 };
  assert.equal(plan({ ...held, neededTokens: 8_000, leastNeededTokens: 8_000 }), 8_000);
  assert.equal(plan({ ...held, neededTokens: 12_000, leastNeededTokens: 12_000 }), 0);
  assert.equal(plan({ ...held, neededTokens: 12_000, leastNeededTokens: 4_000 }), 10_000);
});

test('free tokens are returned when the budget is reduced below the drawn amount', () => {
  assert.equal(plan({ freeTokens: 30_000, grantedTokens: 120_000 }), -20_000);
  assert.equal(plan({ freeTokens: 5_000, grantedTokens: 120_000 }), -5_000);
});

test('a share too small for a typical request is returned completely', () => {
  const drained = { remainingTokens: 1_500, heldTokens: 1_500, grantedTokens: 100_000 };
  assert.equal(plan({ ...drained, freeTokens: 700 }), -700);
});

test('a share above its target is kept while the budget is ample, and returned once it is scarce', () => {
  // Guards against routers with a request every few seconds that keep returning and drawing the same tokens.
  const share = {
    freeTokens: 40_000,
    grantedTokens: 100_000,
    budgetTokens: 400_000,
    remainingTokens: 300_000,
  };
  const target = plan({ ...share, freeTokens: 0, demandTokensPerSecond: 1_400, demandFraction: 0.2 });
  assert.equal(target, 21_600);
  assert.equal(plan({ ...share, heldTokens: 50_000, demandTokensPerSecond: 1_400, demandFraction: 0.2 }), 0);
  assert.ok(plan({ ...share, heldTokens: 170_000, demandTokensPerSecond: 1_400, demandFraction: 0.2 }) < 0);
});

test('a share is refilled in few draws, and small variations of the demand do not change the totals', () => {
  // Guards against a small draw by every router each second, all of which update the same row.
  const share = {
    grantedTokens: 100_000,
    budgetTokens: 400_000,
    remainingTokens: 300_000,
    demandFraction: 0.2,
  };
  assert.equal(plan({ ...share, freeTokens: 20_000, demandTokensPerSecond: 1_500 }), 0);
  assert.equal(plan({ ...share, freeTokens: 12_000, demandTokensPerSecond: 1_500 }), 11_000);
  assert.ok(plan({ ...share, freeTokens: 20_000, demandTokensPerSecond: 1_500, neededTokens: 900 }) >= 900);
});
