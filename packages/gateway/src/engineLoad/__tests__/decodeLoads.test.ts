import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decodeLoadMessage, decodeLoads } from '../decodeLoads.ts';
import { MAX_ENGINES } from '../loadSums.ts';
import { LoadScope } from '../types.ts';

test('lists that are too long, incomplete or hold other values than counts do not reach the sums', () => {
  assert.deepEqual(decodeLoads([1, 2, 3]), [1, 2, 3]);
  for (const value of [null, {}, [1], [1, 2, -3], [1, 2, 0.5], [1, 2, 2 ** 40], ['1', 2, 3], [1, 2, null]]) {
    assert.equal(decodeLoads(value), undefined, JSON.stringify(value));
  }
  assert.equal(decodeLoads(new Array(3 * MAX_ENGINES + 3).fill(1)), undefined);
});

test('messages without a known scope or a sender are rejected', () => {
  const message = { scope: LoadScope.Router, senderId: 'router-1', loads: [] };
  assert.deepEqual(decodeLoadMessage(message), message);
  assert.equal(decodeLoadMessage({ ...message, scope: 'zone' }), undefined);
  assert.equal(decodeLoadMessage({ ...message, senderId: '' }), undefined);
  assert.equal(decodeLoadMessage(null), undefined);
});
