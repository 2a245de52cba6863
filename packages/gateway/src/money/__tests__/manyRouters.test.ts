import assert from 'node:assert/strict';
import { test } from 'node:test';
import { seededRandom } from '@pimentostall/core';
import { SimulatedFleet, StoreMode } from './simulatedFleet.ts';

const ROUTERS = 60;
const SECONDS = 10;
const REQUEST_TOKENS = 2_000;
/** Interval between requests of the fleet; each router gets one every 2.4 s. */
const REQUEST_PAUSE_MS = 40;
/** Interval between requests in the second test; each router gets one every 9 s on average. */
const SPARSE_PAUSE_MS = 150;
/** Home routers of an organisation in a single region. */
const HOME_ROUTERS = 3;
/** A killed router strands the rest of its limit, and tokens of the last seconds that it has not reported as spent. */
const MAX_STRANDED_FRACTION = 0.5;
/** Large enough that no request is refused for lack of tokens. */
const BUDGET_TOKENS = 4_000_000;
/** A third more than the requests of the second test need. */
const TIGHT_BUDGET_TOKENS = 360_000;
/** Store calls per request with which sixty routers with two dozen busy organisations stay within the store's rates. */
const MAX_WRITES_PER_REQUEST = 6;

test('sixty routers that draw from one budget serve every request with few conflicts', async () => {
  // Guards against routers that each report spending to the same row every second, so that most changes conflict.
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

test('sixty routers keep serving sparse requests during a store outage of eight seconds', async () => {
  // Guards against routers without a share of their own that cannot find a lender among many peers.
  const random = seededRandom(11);
  const fleet = new SimulatedFleet(ROUTERS, TIGHT_BUDGET_TOKENS, random);
  const noCheck = (): void => undefined;
  await fleet.timeline.advance(500, noCheck);
  const play = async (durationMs: number): Promise<number> => {
    const servedBefore = fleet.servedCount;
    let requests = 0;
    for (let atMs = 0; atMs < durationMs; atMs += SPARSE_PAUSE_MS) {
      fleet.request(Math.floor(random() * ROUTERS), REQUEST_TOKENS, 0.8, 300);
      requests += 1;
      await fleet.timeline.advance(SPARSE_PAUSE_MS, noCheck);
    }
    await fleet.timeline.advance(300, noCheck);
    return (fleet.servedCount - servedBefore) / requests;
  };
  assert.equal(await play(12_000), 1);
  for (const index of fleet.routerIndexes()) {
    fleet.modes[index] = StoreMode.Unreachable;
  }
  const servedPart = await play(8_000);
  assert.ok(servedPart >= 0.9, `${(servedPart * 100).toFixed(1)} % of requests were served`);
});

test('a request that neither the home routers nor the budget can cover does not busy-wait', async () => {
  // Guards against a waiting request and its account waking each other, so that the router plans the same change again
  // and again until the wait of the request ends.
  const fleet = new SimulatedFleet(ROUTERS, REQUEST_TOKENS, seededRandom(4));
  const noCheck = (): void => undefined;
  await fleet.timeline.advance(500, noCheck);
  for (const index of fleet.routerIndexes()) {
    fleet.request(index, REQUEST_TOKENS, 1, 50);
    await fleet.timeline.advance(400, noCheck);
  }
  assert.equal(fleet.servedCount, 1);
});

/** One write for each router to resolve its unanswered change, and as many again for draws and reports. */
const MAX_RECOVERY_WRITES_PER_ROUTER = 3;
/** Time after the recovery in which requests must get their share of the write rate. */
const RECOVERY_MS = 1_500;

test('the recovery of the store does not make sixty routers contend for the same totals', async () => {
  // Guards against routers that all change the totals at once after an outage, so that most changes conflict for seconds.
  const fleet = new SimulatedFleet(ROUTERS, BUDGET_TOKENS, seededRandom(5));
  const noCheck = (): void => undefined;
  const serve = async (durationMs: number): Promise<number> => {
    let requests = 0;
    for (let atMs = 0; atMs < durationMs; atMs += REQUEST_PAUSE_MS) {
      fleet.request(requests % ROUTERS, REQUEST_TOKENS, 0.8, 300);
      requests += 1;
      await fleet.timeline.advance(REQUEST_PAUSE_MS, noCheck);
    }
    return requests;
  };
  await fleet.timeline.advance(500, noCheck);
  await serve(12_000);
  for (const index of fleet.routerIndexes()) {
    fleet.modes[index] = StoreMode.Unreachable;
  }
  await serve(8_000);
  const before = { ...fleet.commits };
  const servedBefore = fleet.servedCount;
  for (const index of fleet.routerIndexes()) {
    fleet.recoverStore(index);
  }
  const requests = await serve(RECOVERY_MS);
  await fleet.timeline.advance(300, noCheck);
  const conflicts = fleet.commits.conflict - before.conflict;
  const writes = fleet.commits.committed - before.committed + conflicts;
  assert.equal(fleet.servedCount - servedBefore, requests);
  assert.ok(
    writes <= ROUTERS * MAX_RECOVERY_WRITES_PER_ROUTER,
    `${writes} writes, ${conflicts} of them conflicts`,
  );
});

test('sixty routers that start together do not contend for the same totals', async () => {
  // Guards against routers that open an account that has nothing to recover by changing the totals. Only the home
  // routers change them, to draw in advance.
  const fleet = new SimulatedFleet(ROUTERS, BUDGET_TOKENS, seededRandom(6));
  await fleet.timeline.advance(1_000, () => undefined);
  const { committed, conflict, rejected } = fleet.commits;
  assert.ok(fleet.grantedTokens > 0, 'no home router has drawn in advance');
  assert.ok(committed - ROUTERS <= HOME_ROUTERS, `${committed} changes of ${ROUTERS} routers`);
  assert.ok(conflict <= HOME_ROUTERS, `${conflict} conflicts`);
  assert.equal(rejected, 0);
});

test('sixty routers that restart together recover their shares with few conflicts', async () => {
  // Guards against routers that all recover the shares of their previous incarnations at the same moment.
  const fleet = new SimulatedFleet(ROUTERS, BUDGET_TOKENS, seededRandom(8));
  const noCheck = (): void => undefined;
  await fleet.timeline.advance(500, noCheck);
  for (let requests = 0; requests < 300; requests += 1) {
    fleet.request(requests % ROUTERS, REQUEST_TOKENS, 0.8, 300);
    await fleet.timeline.advance(REQUEST_PAUSE_MS, noCheck);
  }
  const heldBefore = fleet.grantedTokens - fleet.spentTokens;
  const before = { ...fleet.commits };
  for (const index of fleet.routerIndexes()) {
    fleet.kill(index);
    fleet.startRouter(index);
  }
  await fleet.timeline.advance(4_000, noCheck);
  const conflicts = fleet.commits.conflict - before.conflict;
  const writes = fleet.commits.committed - before.committed + conflicts;
  // Home routers draw again at once, so that the granted tokens do not tell what was recovered.
  assert.ok(
    fleet.strandedTokens < heldBefore * MAX_STRANDED_FRACTION,
    `${fleet.strandedTokens} of ${heldBefore} held tokens are stranded`,
  );
  assert.ok(
    writes <= ROUTERS * MAX_RECOVERY_WRITES_PER_ROUTER,
    `${writes} writes, ${conflicts} of them conflicts`,
  );
});
