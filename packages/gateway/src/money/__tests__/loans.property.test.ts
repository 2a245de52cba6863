import { test } from 'node:test';
import { seededRandom } from '@pimentostall/core';
import fc from 'fast-check';
import { LoadedFleet } from './loadedFleet.ts';

/** Enough for home routers, see MIN_LARGE_FLEET in routerRegistry.ts. */
const ROUTERS = 18;
const BUDGET_TOKENS = 300_000;
const ORGANISATION = 'school';
/** Requests sent after each history, to spend any tokens that an error would leave available. */
const CLOSING_REQUESTS = 200;
/** Fixed, so that test runs are reproducible. */
const PROPERTY_SEED = 20_261_206;

type Step =
  | { readonly kind: 'request'; readonly router: number; readonly tokens: number; readonly spentPart: number }
  | { readonly kind: 'cut-store' }
  | { readonly kind: 'recover-store' }
  | { readonly kind: 'kill'; readonly router: number; readonly downMs: number }
  | { readonly kind: 'kill-all'; readonly downMs: number }
  | { readonly kind: 'drain'; readonly router: number }
  | { readonly kind: 'set-budget'; readonly budgetPart: number }
  | { readonly kind: 'wait'; readonly durationMs: number };

const router = fc.integer({ min: 0, max: ROUTERS - 1 });
const downMs = fc.integer({ min: 200, max: 5_000 });
const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 30,
    arbitrary: fc.record({
      kind: fc.constant('request' as const),
      router,
      tokens: fc.integer({ min: 500, max: 9_000 }),
      spentPart: fc.double({ min: 0.5, max: 1, noNaN: true }),
    }),
  },
  { weight: 1, arbitrary: fc.constant({ kind: 'cut-store' as const }) },
  { weight: 1, arbitrary: fc.constant({ kind: 'recover-store' as const }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('kill' as const), router, downMs }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('kill-all' as const), downMs }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('drain' as const), router }) },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('set-budget' as const),
      budgetPart: fc.double({ min: 0.2, max: 1, noNaN: true }),
    }),
  },
  {
    weight: 10,
    arbitrary: fc.record({
      kind: fc.constant('wait' as const),
      durationMs: fc.integer({ min: 5, max: 900 }),
    }),
  },
);

function killFor(fleet: LoadedFleet, index: number, afterMs: number): void {
  if (fleet.contextOf(index) !== undefined) {
    fleet.kill(index);
    restartAfter(fleet, index, afterMs);
  }
}

function restartAfter(fleet: LoadedFleet, index: number, afterMs: number): void {
  fleet.timeline.schedule(afterMs, () => {
    if (fleet.contextOf(index) === undefined) {
      fleet.startRouter(index);
    }
  });
}

function send(fleet: LoadedFleet, index: number, tokens: number, spentPart: number): void {
  const spentTokens = Math.floor(tokens * spentPart);
  fleet.request(index, ORGANISATION, { tokens, spentTokens, targetMs: 1_000, durationMs: 300 });
}

async function runHistory(fleet: LoadedFleet, steps: readonly Step[]): Promise<void> {
  const check = fleet.checkBudgets;
  await fleet.timeline.advance(1_500, check);
  for (const next of steps) {
    switch (next.kind) {
      case 'request':
        send(fleet, next.router, next.tokens, next.spentPart);
        break;
      case 'cut-store':
        fleet.cutStore();
        break;
      case 'recover-store':
        fleet.recoverStore();
        break;
      case 'kill':
        killFor(fleet, next.router, next.downMs);
        break;
      case 'kill-all':
        for (let index = 0; index < ROUTERS; index += 1) {
          killFor(fleet, index, next.downMs);
        }
        break;
      case 'drain':
        fleet.drain(next.router);
        restartAfter(fleet, next.router, 9_000);
        break;
      case 'set-budget':
        fleet.setBudget(ORGANISATION, Math.floor(BUDGET_TOKENS * next.budgetPart));
        break;
      case 'wait':
        await fleet.timeline.advance(next.durationMs, check);
        break;
    }
    await fleet.timeline.advance(1, check);
  }
  fleet.recoverStore();
  await fleet.timeline.advance(10_000, check);
  for (let count = 0; count < CLOSING_REQUESTS; count += 1) {
    send(fleet, count % ROUTERS, 3_000, 1);
    await fleet.timeline.advance(30, check);
  }
}

test('no history of kills, stops, outages and lost replies in a large fleet exceeds a budget', async () => {
  // Guards against tokens that are counted at a home router and at a borrower.
  await fc.assert(
    fc.asyncProperty(
      fc.integer({ min: 1, max: 1_000_000 }),
      fc.array(step, { minLength: 60, maxLength: 160 }),
      async (seed, steps) => {
        const fleet = new LoadedFleet({
          routerCount: ROUTERS,
          budgets: new Map([[ORGANISATION, BUDGET_TOKENS]]),
          random: seededRandom(seed),
          lostReplyFraction: 0.1,
        });
        await runHistory(fleet, steps);
      },
    ),
    { seed: PROPERTY_SEED, numRuns: 60 },
  );
});
