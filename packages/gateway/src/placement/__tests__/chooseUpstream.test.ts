import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { UpstreamEntry } from '../../types.ts';
import { UpstreamState } from '../../types.ts';
import type { PlacementRequest } from '../chooseUpstream.ts';
import { chooseUpstream } from '../chooseUpstream.ts';
import { DEFAULT_PLACEMENT } from '../options.ts';
import { UpstreamView } from '../upstreamView.ts';

const location = { availabilityZone: 'z', region: 'x', regionOf: () => 'x' };
const request: PlacementRequest = {
  serviceName: 'assistant',
  promptParts: [
    { partId: 'shared', tokens: 13_000 },
    { partId: 'own', tokens: 3_000 },
  ],
  promptTokens: 16_000,
  excluded: new Set(),
  spreadKey: undefined,
};

function engines(count: number, change: Partial<UpstreamEntry> = {}): UpstreamView[] {
  return Array.from(
    { length: count },
    (_, index) =>
      new UpstreamView(
        {
          upstreamId: `engine-${index}`,
          serviceName: 'assistant',
          address: '127.0.0.1:1',
          availabilityZone: 'z',
          state: UpstreamState.Ready,
          slots: 64,
          warmupLeftMs: 0,
          startTimeMs: undefined,
          sequence: undefined,
          ...change,
        },
        DEFAULT_PLACEMENT,
      ),
  );
}

const choose = (upstreams: UpstreamView[], nowMs = 0): string | undefined =>
  chooseUpstream(request, upstreams, location, nowMs, DEFAULT_PLACEMENT)?.upstream.entry.upstreamId;

test('routers choose the same engine for a shared part without communication', () => {
  assert.equal(choose(engines(13)), choose(engines(13).reverse()));
});

test('an engine that has the shared part cached is preferred to its home engine', () => {
  const upstreams = engines(13);
  const home = choose(upstreams);
  const holder = upstreams.find(({ entry }) => entry.upstreamId !== home);
  for (const { cache } of upstreams) {
    cache.apply([]);
  }
  holder?.cache.apply([{ partId: 'shared', cachedTokens: 13_000 }]);
  assert.equal(choose(upstreams), holder?.entry.upstreamId);
});

test('another engine is chosen when waiting for a busy one takes longer than prefilling the part again', () => {
  const upstreams = engines(2);
  for (const { cache } of upstreams) {
    cache.apply([]);
  }
  upstreams[0]?.cache.apply([{ partId: 'shared', cachedTokens: 13_000 }]);
  assert.equal(choose(upstreams), 'engine-0');
  if (upstreams[0] !== undefined) {
    upstreams[0].pendingPrefillTokens = 40_000;
  }
  assert.equal(choose(upstreams), 'engine-1');
});

test('draining and ejected engines receive no requests', () => {
  assert.equal(choose(engines(2, { state: UpstreamState.Draining })), undefined);
  const [failing] = engines(1);
  assert.ok(failing !== undefined);
  for (let count = 0; count < DEFAULT_PLACEMENT.ejectionFailures; count += 1) {
    failing.recordFailure(0);
  }
  assert.equal(choose([failing], 1), undefined);
  assert.equal(choose([failing], DEFAULT_PLACEMENT.ejectionMs + 1), 'engine-0');
});

test('requests that an engine ended with go to different engines, not to the same home engine', () => {
  const upstreams = engines(12);
  const chosen = ['r1', 'r2', 'r3', 'r4', 'r5', 'r6'].map(
    (spreadKey) =>
      chooseUpstream({ ...request, spreadKey }, upstreams, location, 0, DEFAULT_PLACEMENT)?.upstream.entry
        .upstreamId,
  );
  assert.ok(new Set(chosen).size >= 3, String(chosen));
});
