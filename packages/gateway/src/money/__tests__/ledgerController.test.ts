import assert from 'node:assert/strict';
import { test } from 'node:test';
import { seededRandom } from '@pimentostall/core';
import { SimulatedFleet, StoreMode } from './simulatedFleet.ts';

const WAIT_MS = 2_000;
/** A try for each of the four requests, and one for each pause of 125 ms or more that follows. */
const MAX_TRIES = 20;

test('a store that refuses changes is not called without a pause', async () => {
  // Guards against changes that are refused and sent again at once, for all accounts of a router together.
  const fleet = new SimulatedFleet(1, 100_000, seededRandom(3));
  const noCheck = (): void => undefined;
  await fleet.timeline.advance(100, noCheck);
  fleet.modes[0] = StoreMode.Busy;
  for (let atMs = 0; atMs < WAIT_MS; atMs += 500) {
    fleet.request(0, 50_000, 1, 100);
    await fleet.timeline.advance(500, noCheck);
  }
  assert.ok(fleet.commits.rejected > 0);
  assert.ok(
    fleet.commits.rejected <= MAX_TRIES,
    `${fleet.commits.rejected} changes were sent in ${WAIT_MS} ms`,
  );
});
