import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RemoteLoad } from '../remoteLoad.ts';

test('sums of a collector that has become silent no longer count', () => {
  const load = new RemoteLoad(0);
  load.set(4_000, 3, 100, 1_600);
  assert.deepEqual([load.pendingPrefillTokens(1_599), load.inFlight(1_599)], [4_000, 3]);
  assert.deepEqual([load.pendingPrefillTokens(1_600), load.inFlight(1_600)], [0, 0]);
});

test('pending prompts decrease until the next sums, but not below zero', () => {
  const load = new RemoteLoad(25);
  load.set(4_000, 3, 100, 1_600);
  assert.equal(load.pendingPrefillTokens(140), 3_000);
  assert.equal(load.pendingPrefillTokens(900), 0);
});

test('an abandoned request is not taken for progress of the engine', () => {
  const load = new RemoteLoad(0);
  load.set(4_000, 2, 100, 1_600);
  load.set(2_000, 1, 200, 1_700);
  assert.equal(load.progressAtMs, -Infinity);
  load.set(1_000, 1, 300, 1_800);
  assert.equal(load.progressAtMs, 300);
});
