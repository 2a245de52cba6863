import assert from 'node:assert/strict';
import { test } from 'node:test';
import { isReadBeforeCut, newerGrant, UNKNOWN_GRANT } from '../knownGrant.ts';

const older = { totalVersion: 4, grantedTokens: 900, budgetTokens: 1_000 };
const newer = { totalVersion: 7, grantedTokens: 500, budgetTokens: 1_000 };

test('the newer reading of the totals counts, whichever arrives first and whichever is larger', () => {
  // Guards against a late reply of a lender that brings back an amount from before a return.
  assert.equal(newerGrant(older, newer), newer);
  assert.equal(newerGrant(newer, older), newer);
  assert.equal(newerGrant(UNKNOWN_GRANT, older), older);
});

test('a reading under the reduced budget confirms an earlier one of the same row', () => {
  // Guards against a borrower that waits for a change of totals that no router has a reason to make.
  const confirmed = { ...newer, budgetTokens: 600 };
  assert.equal(newerGrant(newer, confirmed), confirmed);
  assert.equal(newerGrant(confirmed, newer), confirmed);
  assert.equal(isReadBeforeCut(newer, 600), true);
  assert.equal(isReadBeforeCut(confirmed, 600), false);
});

test('a router that has read nothing, and one whose budget was raised, do not wait for a reading', () => {
  // Guards against requests that are refused at the start and after a top-up.
  assert.equal(isReadBeforeCut(UNKNOWN_GRANT, 600), false);
  assert.equal(isReadBeforeCut(newer, 2_000), false);
});
