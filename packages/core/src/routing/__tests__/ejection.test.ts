import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DEFAULT_CORE_OPTIONS } from '../../types/options.ts';
import { PrefixCacheEstimate } from '../prefixCacheEstimate.ts';
import type { UpstreamInfo } from '../types.ts';
import { recordUpstreamFailure, recordUpstreamSuccess } from '../upstreams.ts';

const context = { clock: { monotonicMs: 1_000, wallMs: 1_000 }, options: DEFAULT_CORE_OPTIONS };

function createInfo(): UpstreamInfo {
  return {
    address: '127.1.0.31:8400',
    ownInFlightCount: 0,
    load: undefined,
    loadReadAtMs: 0,
    leaving: false,
    leavingSeenAtMs: -Infinity,
    consecutiveFailures: 0,
    consecutiveEjections: 0,
    ejectedUntilMs: 0,
    prefixes: new PrefixCacheEstimate(),
  };
}

function ejectionMs(info: UpstreamInfo): number {
  return info.ejectedUntilMs - context.clock.monotonicMs;
}

// Guards against a first ejection of 10 s, which cost a third of the capacity.
test('ejects briefly at first and doubles the duration while failures continue', () => {
  const info = createInfo();
  recordUpstreamFailure(context, info);
  recordUpstreamFailure(context, info);
  assert.equal(info.ejectedUntilMs, 0);
  const durations = Array.from({ length: 7 }, () => {
    recordUpstreamFailure(context, info);
    return ejectionMs(info);
  });
  assert.deepEqual(durations, [500, 1_000, 2_000, 4_000, 8_000, 10_000, 10_000]);
});

// Guards against a past failure that lengthens a later ejection.
test('resets the ejection duration after a success', () => {
  const info = createInfo();
  for (let count = 0; count < 5; count += 1) {
    recordUpstreamFailure(context, info);
  }
  recordUpstreamSuccess(info);
  for (let count = 0; count < 3; count += 1) {
    recordUpstreamFailure(context, info);
  }
  assert.equal(ejectionMs(info), 500);
});
