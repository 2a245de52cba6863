import assert from 'node:assert/strict';
import { test } from 'node:test';
import { seededRandom } from '@pimentostall/core';
import { createOptions } from '../../options.ts';
import { SimulatedFleet, StoreMode } from './simulatedFleet.ts';

const WAIT_MS = 2_000;
/** One attempt for each of the four requests, and one for each backoff of 125 ms or more. */
const MAX_TRIES = 20;
const DRAIN_ACCEPT_MS = createOptions()._unsafeUnwrap().drainAcceptMs;

test('changes that the store rejects are retried with a backoff', async () => {
  // Guards against rejected changes that are sent again immediately, by all accounts of a router at once.
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

test('loans whose replies are lost are cancelled, and the whole budget can be spent', async () => {
  // Guards against tokens that a lender records as spent forever although the borrower never received them.
  for (let seed = 20; seed < 30; seed += 1) {
    const unspentTokens = await unspentAfterLostLoans(60_000, seed);
    assert.equal(unspentTokens, 0, `${unspentTokens} tokens remain unspent with seed ${seed}`);
  }
});

async function unspentAfterLostLoans(budgetTokens: number, seed: number): Promise<number> {
  const fleet = new SimulatedFleet(3, budgetTokens, seededRandom(seed));
  const check = (): void => {
    assert.ok(fleet.spentTokens <= budgetTokens);
  };
  await fleet.timeline.advance(500, check);
  for (let request = 0; request < 60; request += 1) {
    fleet.request(1, 800, 0.5, 50);
    await fleet.timeline.advance(30, check);
  }
  for (const index of fleet.routerIndexes()) {
    fleet.modes[index] = StoreMode.Unreachable;
  }
  for (let request = 0; request < 150; request += 1) {
    fleet.request(request % 2 === 0 ? 0 : 2, 800, 1, 50);
    await fleet.timeline.advance(40, check);
  }
  assert.ok(fleet.lostLoanTokens > 0, 'no loan reply was lost');
  for (const index of fleet.routerIndexes()) {
    fleet.modes[index] = StoreMode.Up;
  }
  await fleet.timeline.advance(15_000, check);
  for (let request = 0; request < 150; request += 1) {
    fleet.request(request % 3, 800, 1, 50);
    await fleet.timeline.advance(40, check);
  }
  // Replies of the last loans may be lost as well; these loans are cancelled within this time.
  await fleet.timeline.advance(2_000, check);
  for (let request = 0; request < 9; request += 1) {
    fleet.request(request % 3, 800, 1, 50);
    await fleet.timeline.advance(200, check);
  }
  return budgetTokens - fleet.spentTokens;
}

test('loan requests that fail do not raise the recorded demand above that of the callers', async () => {
  // Guards against demand that grows with each round of loan requests. Demand sets the share limits, and unspent
  // tokens within a limit are stranded when all routers are killed.
  const fleet = new SimulatedFleet(3, 30_000, seededRandom(8));
  const noCheck = (): void => undefined;
  await fleet.timeline.advance(500, noCheck);
  for (let atMs = 0; atMs < 10_000; atMs += 100) {
    for (const index of fleet.routerIndexes()) {
      fleet.request(index, 2_000, 1, 50);
    }
    await fleet.timeline.advance(100, noCheck);
  }
  for (const index of fleet.routerIndexes()) {
    const demand = fleet.demandTokensPerSecond(index);
    assert.ok(
      demand <= 1.2 * 20_000,
      `router ${index} counts ${Math.round(demand)} tokens per second, expected about 20000`,
    );
  }
});

test('a draining router returns free tokens while requests are open, not only in its last moments', async () => {
  const fleet = new SimulatedFleet(1, 100_000, seededRandom(4));
  const noCheck = (): void => undefined;
  await fleet.timeline.advance(500, noCheck);
  fleet.request(0, 4_000, 1, 1_000_000);
  await fleet.timeline.advance(500, noCheck);
  const heldTokens = fleet.grantedTokens;
  assert.ok(heldTokens > 4_000, 'the router holds no free tokens');
  fleet.drain(0);
  await fleet.timeline.advance(DRAIN_ACCEPT_MS - 1, noCheck);
  assert.ok(fleet.grantedTokens > 4_000, 'tokens were returned while requests were accepted');
  await fleet.timeline.advance(500, noCheck);
  assert.equal(fleet.isRunning(0), true);
  assert.equal(fleet.grantedTokens, 4_000);
});

test('the tokens that a response cut off at the exit of its router has not used are returned', async () => {
  // Guards against reservations that stay granted because the router exits without settling them.
  const fleet = new SimulatedFleet(1, 100_000, seededRandom(5));
  const noCheck = (): void => undefined;
  await fleet.timeline.advance(500, noCheck);
  fleet.request(0, 4_000, 0.1, 1_000_000);
  await fleet.timeline.advance(500, noCheck);
  assert.equal(fleet.servedCount, 1);
  fleet.drain(0);
  await fleet.timeline.advance(60_000, noCheck);
  assert.equal(fleet.isRunning(0), false);
  assert.equal(fleet.grantedTokens, 400);
});

test('a request that waits for tokens when its router begins to reject requests still draws them', async () => {
  const fleet = new SimulatedFleet(1, 100_000, seededRandom(6));
  const noCheck = (): void => undefined;
  await fleet.timeline.advance(500, noCheck);
  fleet.drain(0);
  await fleet.timeline.advance(DRAIN_ACCEPT_MS - 1, noCheck);
  fleet.request(0, 50_000, 1, 100);
  await fleet.timeline.advance(300, noCheck);
  assert.equal(fleet.servedCount, 1);
});

test('a request that announces more tokens than the budget is refused at once and does not change the shares', async () => {
  // Guards against one malformed message that makes the demand of an organisation, and with it its rows, infinite.
  const fleet = new SimulatedFleet(2, 100_000, seededRandom(9));
  const noCheck = (): void => undefined;
  await fleet.timeline.advance(500, noCheck);
  for (const tokens of [100_001, Number.MAX_VALUE, Infinity]) {
    fleet.request(0, tokens, 1, 50);
    await fleet.timeline.advance(1_500, noCheck);
  }
  assert.equal(fleet.servedCount, 0);
  assert.equal(fleet.grantedTokens, 0);
  assert.equal(fleet.demandTokensPerSecond(0), 0);
  fleet.request(0, 1_000, 1, 50);
  fleet.request(1, 1_000, 1, 50);
  await fleet.timeline.advance(500, noCheck);
  assert.equal(fleet.servedCount, 2);
});
