import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RetryBudget } from '../retryBudget.ts';

const OPTIONS = { ratio: 0.2, windowMs: 10_000, slack: 54 };

test('ten routers that exhaust their retry budgets stay within the ratio and slack of the fleet', () => {
  const routers = Array.from({ length: 10 }, () => new RetryBudget(OPTIONS));
  let requests = 0;
  let repeats = 0;
  for (let atMs = 0; atMs < 10_000; atMs += 100) {
    for (const budget of routers) {
      budget.recordRequest(atMs);
      requests += 1;
      repeats += budget.tryReserveRetry(atMs, routers.length) ? 1 : 0;
    }
  }
  assert.ok(repeats > 0);
  assert.ok(
    repeats <= OPTIONS.ratio * requests + OPTIONS.slack,
    `${repeats} retries of ${requests} requests`,
  );
});

test('retries are allowed again after the window has passed', () => {
  const budget = new RetryBudget({ ...OPTIONS, slack: 2 });
  assert.equal(budget.tryReserveRetry(0, 1), true);
  assert.equal(budget.tryReserveRetry(0, 1), true);
  assert.equal(budget.tryReserveRetry(5_000, 1), false);
  assert.equal(budget.tryReserveRetry(10_500, 1), true);
});

test('giving a retry back does not lift the limit of a later window (a service got more retries than allowed)', () => {
  const budget = new RetryBudget({ ratio: 0, windowMs: 10_000, slack: 1 });
  assert.equal(budget.tryReserveRetry(0, 1), true);
  budget.releaseRetry(0);
  assert.equal(budget.tryReserveRetry(100, 1), true);
  assert.equal(budget.tryReserveRetry(11_000, 1), true);
  budget.releaseRetry(100);
  assert.equal(budget.tryReserveRetry(11_000, 1), false);
});
