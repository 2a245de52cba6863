import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { BudgetSight } from '../budgetSight.ts';
import { areTokensExpected, isKnownExhausted, newerSight } from '../budgetSight.ts';
import { outstandingLoanTokens } from '../outstandingLoans.ts';

const BUDGET_TOKENS = 10_000;
const RECEIVED_AT_MS = 1_000;
/** A report counts for 1.5 s. */
const FRESH_AT_MS = 2_499;
const STALE_AT_MS = 2_500;

function sight(fields: Partial<BudgetSight>): BudgetSight {
  return {
    undrawnTokens: undefined,
    heldTokens: 0,
    remainingTokens: undefined,
    outstandingTokens: 0,
    grant: { totalVersion: 3, grantedTokens: 9_000, budgetTokens: BUDGET_TOKENS },
    receivedAtMs: RECEIVED_AT_MS,
    ...fields,
  };
}

test('tokens are expected while a recent report shows that they can be drawn or are held by the lender', () => {
  // Guards against requests that wait long for tokens of which nothing is known.
  const reported = sight({ undrawnTokens: 300, heldTokens: 200 });
  assert.equal(areTokensExpected(undefined, 1, FRESH_AT_MS), false);
  assert.equal(areTokensExpected(reported, 500, FRESH_AT_MS), true);
  assert.equal(areTokensExpected(reported, 501, FRESH_AT_MS), false);
  assert.equal(areTokensExpected(reported, 500, STALE_AT_MS), false);
  assert.equal(areTokensExpected(sight({ heldTokens: 200 }), 200, FRESH_AT_MS), true);
});

test('a budget is known to be exhausted only by a recent report of what remains', () => {
  // Guards against a 402 for a lender that does not reach the store, and for an old report.
  const reported = sight({ remainingTokens: 500 });
  assert.equal(isKnownExhausted(undefined, 501, BUDGET_TOKENS, FRESH_AT_MS), false);
  assert.equal(isKnownExhausted(sight({}), 501, BUDGET_TOKENS, FRESH_AT_MS), false);
  assert.equal(isKnownExhausted(reported, 500, BUDGET_TOKENS, FRESH_AT_MS), false);
  assert.equal(isKnownExhausted(reported, 501, BUDGET_TOKENS, FRESH_AT_MS), true);
  assert.equal(isKnownExhausted(reported, 501, BUDGET_TOKENS, STALE_AT_MS), false);
});

test('a report that was made under a lower budget does not refuse requests after a top-up', () => {
  // Guards against a 402 in the first seconds after the operator has raised the budget.
  assert.equal(isKnownExhausted(sight({ remainingTokens: 0 }), 100, BUDGET_TOKENS + 1, FRESH_AT_MS), false);
});

test('a report without the totals does not replace a recent one with them', () => {
  // Guards against 503 instead of 402 since the last router of a round, which is not a home router, knows no totals.
  const known = sight({ remainingTokens: 500, undrawnTokens: 0 });
  const heldOnly = sight({ heldTokens: 40, receivedAtMs: 0 });
  assert.equal(newerSight(known, heldOnly, FRESH_AT_MS), known);
  assert.deepEqual(newerSight(known, heldOnly, STALE_AT_MS), { ...heldOnly, receivedAtMs: STALE_AT_MS });
  assert.deepEqual(newerSight(undefined, heldOnly, FRESH_AT_MS), { ...heldOnly, receivedAtMs: FRESH_AT_MS });
  assert.equal(newerSight(known, sight({}), STALE_AT_MS), known);
});

test('outstanding loans are two seconds of the demand, and at least three hundredths of the budget', () => {
  // Guards against a 402 that a lender's measure of the demand, which follows a burst late, lets through.
  assert.equal(outstandingLoanTokens({ budgetTokens: 10_000, fleetDemandTokensPerSecond: 1_000 }), 2_000);
  assert.equal(outstandingLoanTokens({ budgetTokens: 10_000, fleetDemandTokensPerSecond: 10 }), 300);
});
