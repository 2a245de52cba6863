import assert from 'node:assert/strict';
import { test } from 'node:test';
import { planRuns } from '../planRuns.ts';
import { runRouting } from '../runRouting.ts';
import { SCENARIOS } from '../scenarios.ts';
import { ttftP95Ratios } from '../summary.ts';

const REQUEST_COUNT = 60;

test('every chooser completes every small scenario without refusals', () => {
  const plans = planRuns({ seeds: 1, scale: 1, only: '8' }).filter(
    ({ scenario }) => scenario.engineCount === 12,
  );
  const results = plans.map((plan) => {
    const scenario = { ...plan.scenario, requestCount: REQUEST_COUNT };
    return { plan, figures: runRouting({ ...plan, scenario }) };
  });
  for (const { figures } of results) {
    assert.equal(figures.refusedCount, 0);
    assert.ok(figures.ttftP50Ms > 0);
  }
  const names = SCENARIOS.filter(({ engineCount }) => engineCount === 12).map(({ name }) => name);
  assert.deepEqual(Object.keys(ttftP95Ratios(results)).sort(), names.sort());
});

test('the same plan and seed reproduce the same figures', () => {
  const [plan] = planRuns({ seeds: 1, scale: 0.01, only: '' });
  assert.ok(plan !== undefined);
  const run = { ...plan, scenario: { ...plan.scenario, routerCount: 8, engineCount: 12, requestCount: 40 } };
  assert.deepEqual(runRouting(run), runRouting(run));
});
