import assert from 'node:assert/strict';
import { test } from 'node:test';
import { seededRandom } from '@pimentostall/core';
import type { LedgerAccount } from '../account.ts';
import { homeRouters } from '../homeRouters.ts';
import { acceptLoanReturn, lendTokens, revokeLoan } from '../lending.ts';
import { planLoanReturns } from '../loanReturn.ts';
import { ReserveOutcomeKind } from '../reserveTokens.ts';
import { LoadedFleet } from './loadedFleet.ts';

/** Enough for home routers, see MIN_LARGE_FLEET in routerRegistry.ts. */
const ROUTERS = 24;
const ORGANISATION = 'school';
const BUDGET_TOKENS = 3_000_000;
const REQUEST_TOKENS = 2_000;
const REQUEST_PAUSE_MS = 20;
/** Two seconds without a request, one until the next check, and the call. */
const IDLE_MS = 3_200;

function createFleet(seed: number, lostReplyFraction = 0): LoadedFleet {
  return new LoadedFleet({
    routerCount: ROUTERS,
    budgets: new Map([[ORGANISATION, BUDGET_TOKENS]]),
    random: seededRandom(seed),
    lostReplyFraction,
  });
}

function accountOf(fleet: LoadedFleet, index: number): LedgerAccount {
  const account = fleet.contextOf(index)?.board.accounts.get(ORGANISATION);
  assert.ok(account !== undefined);
  return account;
}

function borrowers(fleet: LoadedFleet): number[] {
  const context = fleet.contextOf(0);
  assert.ok(context !== undefined);
  const homes = homeRouters(context, ORGANISATION);
  return Array.from({ length: ROUTERS }, (_, index) => index).filter(
    (index) => !homes.includes(`router-${index}`),
  );
}

async function send(fleet: LoadedFleet, indexes: readonly number[], count: number): Promise<void> {
  for (let sent = 0; sent < count; sent += 1) {
    fleet.request(indexes[sent % indexes.length] ?? 0, ORGANISATION, {
      tokens: REQUEST_TOKENS,
      spentTokens: REQUEST_TOKENS,
      targetMs: 1_000,
      durationMs: 200,
    });
    await fleet.timeline.advance(REQUEST_PAUSE_MS, fleet.checkBudgets);
  }
}

const heldBy = (fleet: LoadedFleet, indexes: readonly number[]): number =>
  indexes.reduce((sum, index) => sum + Math.max(0, accountOf(fleet, index).ledger.freeTokens), 0);

test('borrowers return what is left of their loans after two seconds without a request, in few calls', async () => {
  // Guards against tokens that lie at routers that the organisation no longer uses, and against a call for each request.
  const fleet = createFleet(1);
  await fleet.timeline.advance(2_000, fleet.checkBudgets);
  const indexes = borrowers(fleet);
  await send(fleet, indexes, 400);
  const heldTokens = heldBy(fleet, indexes);
  assert.ok(heldTokens > 10 * REQUEST_TOKENS, `${heldTokens} tokens on loan`);
  await fleet.timeline.advance(IDLE_MS, fleet.checkBudgets);
  assert.ok(heldBy(fleet, indexes) <= 0.1 * heldTokens, `${heldBy(fleet, indexes)} of ${heldTokens} tokens`);
  const returnedCount = fleet.loans.returned;
  assert.ok(returnedCount <= indexes.length * 2, `${returnedCount} calls`);
  await fleet.timeline.advance(3 * IDLE_MS, fleet.checkBudgets);
  assert.equal(fleet.loans.returned, returnedCount);
});

test('the end of a budget is used up by one router after the others have stopped', async () => {
  // Guards against a rest of the budget that no router can use, since it lies with borrowers without requests.
  const fleet = createFleet(2);
  await fleet.timeline.advance(2_000, fleet.checkBudgets);
  const [last = 0, ...others] = borrowers(fleet);
  await send(fleet, others, 1_420);
  await fleet.timeline.advance(IDLE_MS, fleet.checkBudgets);
  for (let tries = 0; tries < 200; tries += 1) {
    await send(fleet, [last], 1);
    await fleet.timeline.advance(100, fleet.checkBudgets);
  }
  const { spentTokens } = fleet.organisations.get(ORGANISATION) ?? { spentTokens: 0 };
  assert.ok(
    BUDGET_TOKENS - spentTokens <= 0.005 * BUDGET_TOKENS,
    `${BUDGET_TOKENS - spentTokens} tokens left`,
  );
  assert.equal(fleet.outcomes.get(ReserveOutcomeKind.BudgetExhausted) ?? 0, 0);
});

test('returns that are lost or repeated do not duplicate tokens', async () => {
  // Guards against tokens that are usable at the lender and at the borrower.
  const fleet = createFleet(3, 0.3);
  await fleet.timeline.advance(2_000, fleet.checkBudgets);
  const indexes = borrowers(fleet);
  for (let round = 0; round < 8; round += 1) {
    await send(fleet, indexes.slice(round, round + 10), 250);
    await fleet.timeline.advance(IDLE_MS, fleet.checkBudgets);
  }
  await send(fleet, indexes, 600);
  assert.ok(fleet.loans.returned > 0);
});

test('a lender takes a loan back once, from its own incarnation only, and not after a cancellation', async () => {
  // Guards against a repeated return, and against one that reaches the next process of the lender.
  const fleet = createFleet(4);
  await fleet.timeline.advance(2_000, fleet.checkBudgets);
  const index = Array.from({ length: ROUTERS }, (_, router) => router).find(
    (router) => !borrowers(fleet).includes(router),
  );
  const context = fleet.contextOf(index ?? 0);
  assert.ok(context !== undefined);
  const account = accountOf(fleet, index ?? 0);
  const lend = async (loanId: string): Promise<void> => {
    context.loop.spawn(
      'loan',
      (function* () {
        const loan = { loanId, organisationName: ORGANISATION, leastTokens: 1, neededTokens: 500 };
        const reply = yield* lendTokens(context, account, { ...loan, wantedTokens: 500 });
        assert.equal(reply.tokens, 500);
        assert.equal(reply.lenderIncarnationId, context.self.incarnationId);
      })(),
    );
    await fleet.timeline.advance(1, fleet.checkBudgets);
  };
  const giveBack = (loanId: string, tokens: number, lenderIncarnationId: string): number => {
    const before = account.ledger.freeTokens;
    acceptLoanReturn(context, account, {
      loanId,
      organisationName: ORGANISATION,
      lenderIncarnationId,
      tokens,
    });
    return account.ledger.freeTokens - before;
  };
  const { incarnationId } = context.self;
  await lend('loan-1');
  assert.equal(giveBack('loan-1', 300, 'life-0'), 0);
  assert.equal(giveBack('loan-1', 300, incarnationId), 300);
  assert.equal(giveBack('loan-1', 300, incarnationId), 0);
  revokeLoan(context, account, 'loan-1');
  await lend('loan-2');
  revokeLoan(context, account, 'loan-2');
  assert.equal(giveBack('loan-2', 300, incarnationId), 0);
  await lend('loan-3');
  assert.equal(giveBack('loan-3', 9_000, incarnationId), 500);
  assert.equal(giveBack('loan-4', 300, incarnationId), 0);
});

test('the newest loans count as unspent, and rests that are not worth a call are kept', () => {
  // Guards against more tokens returned than are free, and against calls for a few tokens.
  const loans = [
    { loanId: 'a', tokens: 500 },
    { loanId: 'b', tokens: 400 },
    { loanId: 'c', tokens: 20 },
  ];
  const plan = (freeTokens: number): unknown =>
    planLoanReturns({ loans, freeTokens, averageRequestTokens: 200 }).map(({ loan, tokens }) => [
      loan.loanId,
      tokens,
    ]);
  assert.deepEqual(plan(600), [
    ['b', 400],
    ['a', 200],
  ]);
  assert.deepEqual(plan(420), [['b', 400]]);
  assert.deepEqual(plan(49), []);
  assert.deepEqual(plan(-5), []);
});
