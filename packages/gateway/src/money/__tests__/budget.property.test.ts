import assert from 'node:assert/strict';
import { test } from 'node:test';
import { seededRandom } from '@pimentostall/core';
import fc from 'fast-check';
import { SimulatedFleet, StoreMode } from './simulatedFleet.ts';

const ROUTERS = 3;
const BUDGET_TOKENS = 200_000;
const PROPERTY_BUDGET_TOKENS = 120_000;
/** Requests sent after each history, to spend any tokens that a ledger error would leave available. */
const CLOSING_REQUESTS = 120;
/** Fixed, so that test runs are reproducible. */
const PROPERTY_SEED = 20_261_204;

type Step =
  | { readonly kind: 'request'; readonly router: number; readonly tokens: number; readonly spentPart: number }
  | { readonly kind: 'store'; readonly router: number; readonly mode: StoreMode }
  | { readonly kind: 'store-all'; readonly mode: StoreMode }
  | { readonly kind: 'kill'; readonly router: number; readonly downMs: number }
  | { readonly kind: 'kill-all'; readonly downMs: number }
  | { readonly kind: 'pause'; readonly router: number; readonly durationMs: number }
  | { readonly kind: 'wait'; readonly durationMs: number };

const router = fc.integer({ min: 0, max: ROUTERS - 1 });
const mode = fc.constantFrom(...Object.values(StoreMode));
const downMs = fc.integer({ min: 200, max: 5_000 });
const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 20,
    arbitrary: fc.record({
      kind: fc.constant('request' as const),
      router,
      tokens: fc.integer({ min: 100, max: 4_000 }),
      spentPart: fc.double({ min: 0.5, max: 1, noNaN: true }),
    }),
  },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('store' as const), router, mode }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('store-all' as const), mode }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('kill' as const), router, downMs }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('kill-all' as const), downMs }) },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('pause' as const),
      router,
      durationMs: fc.integer({ min: 500, max: 8_000 }),
    }),
  },
  {
    weight: 12,
    arbitrary: fc.record({
      kind: fc.constant('wait' as const),
      durationMs: fc.integer({ min: 5, max: 900 }),
    }),
  },
);

function kill(fleet: SimulatedFleet, index: number, afterMs: number): void {
  fleet.kill(index);
  fleet.timeline.schedule(afterMs, () => {
    fleet.startRouter(index);
  });
}

async function runHistory(fleet: SimulatedFleet, steps: readonly Step[]): Promise<void> {
  const check = (): void => {
    assert.ok(
      fleet.spentTokens <= fleet.budgetTokens,
      `${fleet.spentTokens} tokens of ${fleet.budgetTokens} are spent or reserved`,
    );
  };
  await fleet.timeline.advance(100, check);
  for (const next of steps) {
    switch (next.kind) {
      case 'request':
        fleet.request(next.router, next.tokens, next.spentPart, 400);
        break;
      case 'store':
        fleet.modes[next.router] = next.mode;
        break;
      case 'store-all':
        fleet.modes.fill(next.mode);
        break;
      case 'kill':
        kill(fleet, next.router, next.downMs);
        break;
      case 'kill-all':
        for (const index of fleet.routerIndexes()) {
          kill(fleet, index, next.downMs);
        }
        break;
      case 'pause':
        fleet.pause(next.router, next.durationMs);
        break;
      case 'wait':
        await fleet.timeline.advance(next.durationMs, check);
        break;
    }
    await fleet.timeline.advance(1, check);
  }
  fleet.modes.fill(StoreMode.Up);
  await fleet.timeline.advance(9_000, check);
  for (let count = 0; count < CLOSING_REQUESTS; count += 1) {
    fleet.request(count % ROUTERS, 1_500, 1, 100);
    await fleet.timeline.advance(40, check);
  }
}

test('no history of kills, pauses, lost replies, delayed writes and loans exceeds a budget', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.integer({ min: 1, max: 1_000_000 }),
      fc.array(step, { minLength: 60, maxLength: 160 }),
      async (seed, steps) => {
        await runHistory(new SimulatedFleet(ROUTERS, PROPERTY_BUDGET_TOKENS, seededRandom(seed)), steps);
      },
    ),
    { seed: PROPERTY_SEED, numRuns: 150 },
  );
});

test('a fleet killed during normal operation recovers most of its unspent shares', async () => {
  const fleet = new SimulatedFleet(ROUTERS, BUDGET_TOKENS, seededRandom(1));
  const noCheck = (): void => undefined;
  for (let round = 0; round < 40; round += 1) {
    for (const index of fleet.routerIndexes()) {
      fleet.request(index, 400, 1, 100);
    }
    await fleet.timeline.advance(250, noCheck);
  }
  const spentBefore = fleet.spentTokens;
  for (const index of fleet.routerIndexes()) {
    kill(fleet, index, 900);
  }
  await fleet.timeline.advance(1_500, noCheck);
  for (let round = 0; round < 1_000; round += 1) {
    fleet.request(round % ROUTERS, 400, 1, 100);
    await fleet.timeline.advance(60, noCheck);
  }
  const strandedTokens = BUDGET_TOKENS - fleet.spentTokens;
  assert.ok(spentBefore > 40_000, `only ${spentBefore} tokens were spent before the kill`);
  // Each of the three routers strands at most its limit: 1.2 s of demand plus the raise for one request.
  assert.ok(
    strandedTokens < BUDGET_TOKENS * 0.1,
    `${strandedTokens} of ${BUDGET_TOKENS} tokens are stranded`,
  );
});

test('routers keep serving from their shares during a store outage of eight seconds', async () => {
  const fleet = new SimulatedFleet(ROUTERS, BUDGET_TOKENS * 5, seededRandom(2));
  const noCheck = (): void => undefined;
  const sendFor = async (rounds: number): Promise<number> => {
    const before = fleet.servedCount;
    for (let round = 0; round < rounds; round += 1) {
      for (const index of fleet.routerIndexes()) {
        fleet.request(index, 500, 1, 100);
      }
      await fleet.timeline.advance(250, noCheck);
    }
    return fleet.servedCount - before;
  };
  await sendFor(40);
  fleet.modes.fill(StoreMode.Unreachable);
  const served = await sendFor(32);
  assert.ok(
    served >= 0.95 * 32 * ROUTERS,
    `${served} of ${32 * ROUTERS} requests were served during the outage`,
  );
});

/** Spends as much as the shares allow during a store outage, then kills all routers and spends the rest. */
async function killAfterOutage(outageMs: number, returnedMs: number): Promise<SimulatedFleet> {
  const fleet = new SimulatedFleet(ROUTERS, BUDGET_TOKENS, seededRandom(3));
  const noCheck = (): void => undefined;
  const sendFor = async (durationMs: number, tokens: number): Promise<void> => {
    const untilMs = fleet.timeline.nowMs + durationMs;
    while (fleet.timeline.nowMs < untilMs) {
      for (const index of fleet.routerIndexes()) {
        fleet.request(index, tokens, 1, 50);
      }
      await fleet.timeline.advance(Math.min(20, untilMs - fleet.timeline.nowMs), noCheck);
    }
  };
  await sendFor(4_000, 20);
  fleet.modes.fill(StoreMode.Unreachable);
  await sendFor(outageMs, 200);
  fleet.modes.fill(StoreMode.Up);
  await sendFor(returnedMs, 200);
  for (const index of fleet.routerIndexes()) {
    kill(fleet, index, 100);
  }
  await fleet.timeline.advance(500, noCheck);
  await sendFor(8_000, 500);
  return fleet;
}

test('a router killed during or after an outage has spent no more than its next incarnation assumes', async () => {
  for (let outageMs = 0; outageMs <= 6_000; outageMs += 750) {
    for (const returnedMs of [0, 20, 60, 120, 200, 350, 600]) {
      const { spentTokens } = await killAfterOutage(outageMs, returnedMs);
      assert.ok(
        spentTokens <= BUDGET_TOKENS,
        `outage ${outageMs} ms, store back for ${returnedMs} ms: ${spentTokens} tokens of ${BUDGET_TOKENS}`,
      );
    }
  }
});
