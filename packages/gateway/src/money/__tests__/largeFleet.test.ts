import assert from 'node:assert/strict';
import { test } from 'node:test';
import { seededRandom } from '@pimentostall/core';
import type { Traffic } from './loadedTraffic.ts';
import { createLoadedFleet, sendTraffic } from './loadedTraffic.ts';

/** Half of the calls that the store got when each router drew for itself (850 changes and 147 liveness records). */
const MAX_STORE_CALLS_PER_SECOND = 500;
const START_MS = 3_000;

async function startFleet(seed: number): Promise<Traffic> {
  const random = seededRandom(seed);
  const fleet = createLoadedFleet(random);
  await fleet.timeline.advance(START_MS, fleet.checkBudgets);
  return { fleet, random };
}

test('the start of traffic in a large fleet causes no refusals and few store calls', async () => {
  // Guards against routers that contend for the totals of each organisation, so that requests are refused for lack of
  // tokens while the budgets are almost unused.
  const traffic = await startFleet(5);
  const { fleet } = traffic;
  const callsBefore = fleet.store.callCount;
  await sendTraffic(traffic, 7_000);
  const callsPerSecond = (fleet.store.callCount - callsBefore) / 7;
  assert.equal(fleet.refusals.falseCount, 0);
  assert.ok(callsPerSecond <= MAX_STORE_CALLS_PER_SECOND, `${callsPerSecond} store calls per second`);
});

test('home routers lend during two outages of the store of nine seconds', async () => {
  // Guards against home routers that hold too little at the start of traffic, and against tokens that are not released
  // until the limits are used up.
  const traffic = await startFleet(5);
  const { fleet } = traffic;
  await sendTraffic(traffic, 3_000);
  fleet.cutStore();
  await sendTraffic(traffic, 9_000);
  fleet.recoverStore();
  await sendTraffic(traffic, 8_000);
  fleet.cutStore();
  await sendTraffic(traffic, 9_000);
  fleet.recoverStore();
  await sendTraffic(traffic, 5_000);
  const { falseCount, trueCount } = fleet.refusals;
  const requests = fleet.servedCount + falseCount + trueCount;
  assert.ok(falseCount <= requests * 0.01, `${falseCount} of ${requests} requests were refused`);
});
