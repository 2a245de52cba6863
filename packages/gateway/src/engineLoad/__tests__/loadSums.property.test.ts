import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { EngineLoads } from '../loadSums.ts';
import { forEachLoad, LoadSums, MAX_ENGINES } from '../loadSums.ts';

const EXPIRY_MS = 1_500;

const loads = fc
  .array(fc.tuple(fc.integer({ min: 1, max: 6 }), fc.nat(50_000), fc.nat(8)), { maxLength: 8 })
  .map((items) => items.flat());
const step = fc.record({
  pauseMs: fc.nat(900),
  source: fc.constantFrom('a', 'b', 'c', 'd'),
  loads: fc.option(loads, { nil: undefined }),
});

function asRecord(list: EngineLoads): Map<number, string> {
  const sums = new Map<number, readonly [number, number]>();
  forEachLoad(list, (key, tokens, inFlight) => {
    const [otherTokens, otherInFlight] = sums.get(key) ?? [0, 0];
    sums.set(key, [tokens + otherTokens, inFlight + otherInFlight]);
  });
  const entries = [...sums].filter(([, [tokens, inFlight]]) => tokens > 0 || inFlight > 0);
  return new Map(entries.sort(([a], [b]) => a - b).map(([key, sum]) => [key, sum.join(' ')]));
}

test('sums are those of the newest report of each source after any order of reports, removals and expiries', () => {
  fc.assert(
    fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
      const sums = new LoadSums(EXPIRY_MS);
      const expected = new Map<string, { loads: EngineLoads; atMs: number }>();
      let nowMs = 0;
      for (const { pauseMs, source, loads: reported } of steps) {
        nowMs += pauseMs;
        sums.expire(nowMs);
        for (const [other, { atMs }] of expected) {
          if (nowMs - atMs >= EXPIRY_MS) {
            expected.delete(other);
          }
        }
        if (reported === undefined) {
          sums.remove(source);
          expected.delete(source);
        } else {
          sums.replace(source, reported, nowMs);
          expected.set(source, { loads: reported, atMs: nowMs });
        }
        const all = [...expected.values()].flatMap((report) => report.loads);
        assert.deepEqual(asRecord(sums.total()), asRecord(all));
        assert.equal(sums.hasLoad, asRecord(all).size > 0);
        const others = [...expected].filter(([other]) => other !== 'a').flatMap(([, report]) => report.loads);
        assert.deepEqual(asRecord(sums.totalWith(new LoadSums(EXPIRY_MS), 'a')), asRecord(others));
      }
    }),
  );
});

test('a message holds a bounded number of engines, and sums a bounded number of sources', () => {
  const sums = new LoadSums(EXPIRY_MS);
  const many = Array.from({ length: 2 * MAX_ENGINES }, (_, key) => [key, 1, 1]).flat();
  sums.replace('a', many, 0);
  assert.equal(sums.total().length, 3 * MAX_ENGINES);
  const accepted = Array.from({ length: 2_000 }, (_, index) => sums.replace(`s${index}`, [], 0));
  assert.ok(accepted.includes(false), 'no source was refused');
});
