import assert from 'node:assert/strict';
import { test } from 'node:test';
import { rereadCostFactor } from '../rereadCost.ts';

test('reading a shared part again costs the more, the longer prompts wait', () => {
  // Guards against requests that leave busy home engines all at once and read their parts again elsewhere.
  assert.ok(rereadCostFactor(0) > 1);
  assert.ok(rereadCostFactor(300) > rereadCostFactor(100));
  assert.equal(rereadCostFactor(-1), rereadCostFactor(0));
});
