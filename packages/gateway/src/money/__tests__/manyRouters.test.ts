import assert from 'node:assert/strict';
import { test } from 'node:test';
import { seededRandom } from '@pimentostall/core';
import { SimulatedFleet } from './simulatedFleet.ts';

const ROUTERS = 60;
const SECONDS = 10;
const REQUEST_TOKENS = 2_000;
/** Pause between requests of all routers: one request per router every 2.4 s. */
const REQUEST_PAUSE_MS = 40;
/** Ample: no request is refused for lack of money. */
const BUDGET_TOKENS = 4_000_000;
/** Store calls per request at which sixty routers with two dozen busy organisations stay within the store's rates. */
const MAX_WRITES_PER_REQUEST = 6;

test('sixty routers that draw on one budget serve every request and rarely meet a conflict', async () => {
  // Guards against routers that report spending every second to the same row, so that most changes are refused.
  const fleet = new SimulatedFleet(ROUTERS, BUDGET_TOKENS, seededRandom(7));
  const noCheck = (): void => undefined;
  await fleet.timeline.advance(500, noCheck);
  const before = { ...fleet.commits };
  let requests = 0;
  for (let atMs = 0; atMs < SECONDS * 1_000; atMs += REQUEST_PAUSE_MS) {
    fleet.request(requests % ROUTERS, REQUEST_TOKENS, 0.8, 300);
    requests += 1;
    await fleet.timeline.advance(REQUEST_PAUSE_MS, noCheck);
  }
  await fleet.timeline.advance(500, noCheck);
  const writes = fleet.commits.committed + fleet.commits.conflict - before.committed - before.conflict;
  assert.equal(fleet.servedCount, requests);
  assert.ok(
    writes <= requests * MAX_WRITES_PER_REQUEST,
    `${writes} writes for ${requests} requests, ${fleet.commits.conflict - before.conflict} of them conflicts`,
  );
});
