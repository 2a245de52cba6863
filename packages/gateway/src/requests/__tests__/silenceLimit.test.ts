import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DEFAULT_OPTIONS } from '../../options.ts';
import { RouteKind } from '../../types.ts';
import type { AttemptSilence } from '../silenceLimit.ts';
import { silenceLimitAtMs } from '../silenceLimit.ts';

function limitAtMs(attempt: Partial<Omit<AttemptSilence, 'route'>>, route: Partial<AttemptSilence['route']>) {
  return silenceLimitAtMs(
    {
      hasEvents: false,
      lastProgressAtMs: 0,
      upstreamProgressAtMs: 0,
      remoteProgressAtMs: -Infinity,
      ...attempt,
      route: { kind: RouteKind.Streaming, targetLatencyMs: undefined, targetGapMs: undefined, ...route },
    },
    DEFAULT_OPTIONS,
  );
}

test('a stream whose operator allows long gaps is not taken for a silent one', () => {
  assert.ok(limitAtMs({ hasEvents: true }, { targetGapMs: 2_000 }) >= 4_000);
  assert.equal(limitAtMs({ hasEvents: true }, { targetGapMs: 250 }), DEFAULT_OPTIONS.silentConnectionMs);
});

test('a first event may come later than the target before its engine counts as silent', () => {
  assert.ok(limitAtMs({}, { targetLatencyMs: 1_200 }) > 1_200);
  assert.equal(limitAtMs({}, { targetLatencyMs: 100 }), DEFAULT_OPTIONS.silentUpstreamMs);
});

test('progress of other responses shows that an engine is alive before the first event, not after it', () => {
  assert.equal(limitAtMs({ upstreamProgressAtMs: 500 }, {}), 500 + DEFAULT_OPTIONS.silentUpstreamMs);
  assert.equal(
    limitAtMs({ upstreamProgressAtMs: 500, hasEvents: true }, {}),
    DEFAULT_OPTIONS.silentConnectionMs,
  );
});

test('a plain response that is late leaves time for one more upstream', () => {
  assert.equal(limitAtMs({}, { kind: RouteKind.Safe, targetLatencyMs: 100 }), 200);
  assert.equal(
    limitAtMs({}, { kind: RouteKind.Safe, targetLatencyMs: 5_000 }),
    DEFAULT_OPTIONS.silentUpstreamMs,
  );
});

test('a stream is not abandoned while its engine answers prompts of other routers, but not without end', () => {
  const { silentUpstreamMs } = DEFAULT_OPTIONS;
  assert.equal(limitAtMs({ remoteProgressAtMs: 700 }, {}), 700 + silentUpstreamMs);
  assert.equal(limitAtMs({ remoteProgressAtMs: 60_000 }, {}), silentUpstreamMs + 1_500);
  assert.equal(
    limitAtMs({ remoteProgressAtMs: 700, hasEvents: true }, {}),
    DEFAULT_OPTIONS.silentConnectionMs,
  );
});
