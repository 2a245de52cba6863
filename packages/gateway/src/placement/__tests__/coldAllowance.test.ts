import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { AllowanceShare } from '../coldAllowance.ts';
import { chooseShare, ColdPace, isMembershipSettled, requestsPerWindow } from '../coldAllowance.ts';

const LIMITS = { requestsPerSecond: 6.9, overshoot: 1.5, slack: 5 };
const MAX_PER_WINDOW = 15.35;

function routerIds(count: number): string[] {
  return Array.from({ length: count }, (_, index) => `router-${index}`);
}

/** Requests that a router with this share sends in any one second at most. */
function mostPerWindow(share: AllowanceShare): number {
  return share.kind === 'none' ? 0 : Math.ceil(1_000 / share.intervalMs);
}

function sumOf(ids: readonly string[], viewOf: (id: string) => readonly string[]): number {
  return ids.reduce((sum, id) => {
    const others = viewOf(id).filter((other) => other !== id);
    return sum + mostPerWindow(chooseShare('engine-1', id, others, LIMITS));
  }, 0);
}

test('two views stay within the bound whatever the limits are', () => {
  fc.assert(
    fc.property(
      fc.double({ min: 0.1, max: 100, noNaN: true }),
      fc.double({ min: 0, max: 3, noNaN: true }),
      fc.double({ min: 0, max: 20, noNaN: true }),
      (requestsPerSecond, overshoot, slack) => {
        const most = requestsPerWindow({ requestsPerSecond, overshoot, slack });
        assert.ok(2 * most <= requestsPerSecond * overshoot + slack);
        assert.ok(most <= Math.max(1, requestsPerSecond + 0.5));
      },
    ),
    { seed: 5 },
  );
});

test('routers that omit others at different times do not add to the sum', () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 80 }),
      fc.integer({ min: 0, max: 40 }),
      fc.nat(),
      (alive, gone, salt) => {
        const running = routerIds(alive);
        const ended = routerIds(gone).map((id) => `ended-${id}`);
        const viewOf = (id: string): string[] => [
          ...running,
          // Each router omits its own selection of those that have ended.
          ...ended.filter((_, index) => (salt + id.length * 7 + index * 13 + Number(id.slice(7))) % 3 > 0),
        ];
        assert.ok(sumOf(running, viewOf) <= requestsPerWindow(LIMITS));
      },
    ),
    { seed: 6 },
  );
});

test('a fleet that is divided into two views stays within the bound', () => {
  fc.assert(
    fc.property(fc.integer({ min: 2, max: 80 }), fc.nat({ max: 79 }), (count, firstCount) => {
      const ids = routerIds(count);
      const first = ids.slice(0, firstCount);
      const second = ids.slice(firstCount);
      assert.ok(sumOf(first, () => first) + sumOf(second, () => second) <= MAX_PER_WINDOW);
    }),
    { seed: 7 },
  );
});

test('the chosen routers together send about the tolerated rate', () => {
  const ids = routerIds(60);
  const perSecond = ids.reduce((sum, id) => {
    const share = chooseShare(
      'engine-1',
      id,
      ids.filter((other) => other !== id),
      LIMITS,
    );
    return sum + (share.kind === 'none' ? 0 : 1_000 / share.intervalMs);
  }, 0);
  assert.ok(perSecond > 0.85 * 6.9 && perSecond <= 6.9, `${perSecond} per second`);
});

test('no request is allowed where the bound is too low for two views', () => {
  const limits = { requestsPerSecond: 1, overshoot: 1, slack: 0 };
  assert.equal(chooseShare('engine-1', 'router-0', [], limits).kind, 'none');
});

test('a router sends at its interval, and nothing while a request is unanswered', () => {
  const share: AllowanceShare = { kind: 'interval', intervalMs: 1_000 };
  const pace = new ColdPace('router-0|engine-1', 0);
  assert.ok(pace.nextAtMs(share) <= 1_000);
  assert.equal(pace.maySend({ kind: 'none' }, 5_000), false);
  assert.equal(pace.maySend(share, 1_000), true);
  pace.begin(1_000);
  pace.recordSent(1_300);
  assert.equal(pace.maySend(share, 4_000), false, 'the first request is unanswered');
  pace.end();
  assert.equal(pace.maySend(share, 2_299), false, 'counted from its begin, not from when it was sent');
  assert.equal(pace.maySend(share, 2_300), true);
});

test('a request that could not be sent counts as sent', () => {
  const share: AllowanceShare = { kind: 'interval', intervalMs: 1_000 };
  const pace = new ColdPace('router-0|engine-1', 0);
  pace.begin(1_000);
  pace.end();
  assert.equal(pace.maySend(share, 1_999), false);
});

test('the membership is not relied on right after a start, without readings, or before one after an outage', () => {
  const reads = { firstAtMs: 0, lastAtMs: 9_000 };
  assert.equal(isMembershipSettled(reads, undefined, 10_000), true);
  assert.equal(isMembershipSettled({ firstAtMs: undefined, lastAtMs: -Infinity }, undefined, 10_000), false);
  assert.equal(isMembershipSettled({ firstAtMs: 8_000, lastAtMs: 9_000 }, undefined, 10_000), false);
  assert.equal(isMembershipSettled(reads, undefined, 12_000), false);
  assert.equal(isMembershipSettled(reads, 9_500, 10_000), false);
});
