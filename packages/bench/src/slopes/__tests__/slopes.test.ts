import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { measureMembership } from '../measureMembership.ts';
import { completeOptions, DEFAULT_OPTIONS } from '../options.ts';
import { formatJson, formatTable } from '../report.ts';
import { runSlopes } from '../runSlopes.ts';
import { slopeRow } from '../series.ts';
import { fitLine, median } from '../statistics.ts';

interface Report {
  readonly slopes: Readonly<Record<string, { readonly atTarget: number; readonly slope: number }>>;
}

describe('the slopes', () => {
  test('a line through exact points is found, so that a slope is not skewed by the fit', () => {
    const line = fitLine([8, 32, 128].map((size) => ({ size, value: 3 + 0.5 * size })));
    assert.ok(Math.abs(line.slope - 0.5) < 1e-9);
    assert.ok(Math.abs(line.intercept - 3) < 1e-9);
  });

  test('one outlier of three does not move the median', () => {
    assert.equal(median([1, 100, 2]), 2);
    assert.equal(median([4, 1, 3, 2]), 2.5);
  });

  test('a target that was measured is not replaced by the line', () => {
    const base = { id: 'a.b', quantity: 'q', unit: 'B', sizeUnit: 'n' };
    const points = [1, 2, 4].map((size) => ({ size, values: [size * size] }));
    const measured = slopeRow({ ...base, points, targetSize: 4 });
    const estimated = slopeRow({ ...base, points, targetSize: 8 });
    assert.deepEqual([measured.atTarget, measured.measuredAtTarget], [16, true]);
    assert.equal(estimated.measuredAtTarget, false);
  });

  test('a count of repetitions that measures nothing is refused', () => {
    assert.ok(completeOptions({ repeats: 0 }).isErr());
    assert.ok(completeOptions({}).isOk());
  });

  test('a quick run measures every series and reports it, whatever the times are', async () => {
    const all = await runSlopes({ ...DEFAULT_OPTIONS, quick: true, repeats: 1 }, () => undefined);
    const names = all.map(({ id }) => id);
    assert.equal(new Set(names).size, names.length, 'series have distinct names');
    for (const { id, points } of all) {
      const values = points.flatMap((point) => point.values);
      assert.ok(values.length > 0 && values.every((value) => Number.isFinite(value) && value >= 0), id);
    }
    const report = JSON.parse(formatJson(all, {})) as Report;
    assert.deepEqual(Object.keys(report.slopes), names);
    assert.equal(formatTable(all).split('\n').length, names.length + 1);
  });

  test('heartbeats go to every router of the region, as long as no digests are relayed', () => {
    const all = measureMembership({ quick: true, repeats: 1 });
    const sent = all.find(({ id }) => id === 'membership.messagesSent');
    // Of 8 routers 3 others are in the region; 2 digests leave it every 5 s.
    assert.deepEqual(sent?.points[0], { size: 8, values: [3.4] });
  });
});
