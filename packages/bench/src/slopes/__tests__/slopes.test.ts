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

describe('slopes', () => {
  test('the fit reproduces a line from exact points', () => {
    const line = fitLine([8, 32, 128].map((size) => ({ size, value: 3 + 0.5 * size })));
    assert.ok(Math.abs(line.slope - 0.5) < 1e-9);
    assert.ok(Math.abs(line.intercept - 3) < 1e-9);
  });

  test('one outlier among three values does not change the median', () => {
    assert.equal(median([1, 100, 2]), 2);
    assert.equal(median([4, 1, 3, 2]), 2.5);
  });

  test('a measurement at the target size takes precedence over the fitted line', () => {
    const base = { id: 'a.b', quantity: 'q', unit: 'B', sizeUnit: 'n' };
    const points = [1, 2, 4].map((size) => ({ size, values: [size * size] }));
    const measured = slopeRow({ ...base, points, targetSize: 4 });
    const estimated = slopeRow({ ...base, points, targetSize: 8 });
    assert.deepEqual([measured.atTarget, measured.measuredAtTarget], [16, true]);
    assert.equal(estimated.measuredAtTarget, false);
  });

  test('a repetition count of zero is rejected', () => {
    assert.ok(completeOptions({ repeats: 0 }).isErr());
    assert.ok(completeOptions({}).isOk());
  });

  test('a quick run measures and reports every series', async () => {
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

  test('heartbeats are sent to every router of the region when digests are not relayed', () => {
    const all = measureMembership({ quick: true, repeats: 1 });
    const sent = all.find(({ id }) => id === 'membership.messagesSent');
    // The region of one of 8 routers has 3 others; 2 digests are sent to the other region every 5 s.
    assert.deepEqual(sent?.points[0], { size: 8, values: [3.4] });
  });
});
