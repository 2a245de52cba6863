import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MetricKind } from '@pimentostall/core';
import { MetricsRegistry } from '../metricsRegistry.ts';

const base = { organisationId: 'a"b\\c\n', classId: 'assistant', label: '' };

// Guards against output that Prometheus cannot parse.
test('exports quantiles, sums, counts and escaped labels', () => {
  const registry = new MetricsRegistry();
  for (const value of [10, 20, 30, 10_000_000, NaN]) {
    registry.record({ ...base, metric: MetricKind.TimeToFirstToken, value });
  }
  registry.record({ ...base, metric: MetricKind.Refused, value: 1, label: 'budget-exhausted' });
  registry.record({ ...base, metric: MetricKind.Refused, value: 1, label: 'budget-exhausted' });
  const text = registry.prometheusText();
  const labels = String.raw`organisation="a\"b\\c\n",class="assistant"`;
  assert.ok(text.includes(`pimentostall_time_to_first_token_seconds_count{${labels}} 4\n`), text);
  assert.ok(text.includes(`pimentostall_time_to_first_token_seconds{${labels},quantile="0.5"} 0.02\n`), text);
  assert.ok(text.includes(`pimentostall_time_to_first_token_seconds_sum{${labels}} 600.06\n`), text);
  assert.ok(text.includes(`pimentostall_refused_total{${labels},reason="budget-exhausted"} 2\n`), text);
});
