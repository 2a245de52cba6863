import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { EngineCandidate, EngineChoiceRequest } from '../chooseEngine.ts';
import { EngineChoiceKind, chooseEngine } from '../chooseEngine.ts';
import { PrefixCacheEstimate } from '../prefixCacheEstimate.ts';
import { createUpstreamInfo } from '../createUpstreamInfo.ts';
import { prefixHashes } from '../prefixHashes.ts';
import type { UpstreamInfo } from '../types.ts';

function candidate(
  address: string,
  overrides: Partial<UpstreamInfo> = {},
  zone = 'near-a',
  region = 'near',
): EngineCandidate {
  const engine = {
    engineId: address,
    address,
    region,
    availabilityZone: zone,
    models: ['small'],
    maxConcurrent: 8,
    honoursFencing: true,
  };
  const info = { ...createUpstreamInfo(address), ...overrides };
  return { engine, info };
}

function choose(
  candidates: readonly EngineCandidate[],
  overrides: Partial<EngineChoiceRequest> = {},
): string | EngineChoiceKind {
  const choice = chooseEngine({
    candidates,
    region: 'near',
    availabilityZone: 'near-a',
    prefixHashes: [],
    excludedAddresses: new Set(),
    nowMs: 1_000,
    farEngineCostMs: 200,
    random: 0,
    ...overrides,
  });
  return choice.kind === EngineChoiceKind.Chosen ? choice.candidate.engine.address : choice.kind;
}

test('excludes leaving, ejected and failed engines even if they are idle', () => {
  const busy = candidate('ok', { ownInFlightCount: 5 });
  const unusable = [candidate('leaving', { leaving: true }), candidate('ejected', { ejectedUntilMs: 2_000 })];
  const excludedAddresses = new Set(['failed']);
  assert.equal(choose([...unusable, candidate('failed'), busy], { excludedAddresses }), 'ok');
  assert.equal(choose(unusable), EngineChoiceKind.NoneUsable);
  assert.equal(choose([candidate('full', { ownInFlightCount: 8 })]), EngineChoiceKind.AllBusy);
});

// Guards against routers that all choose the same engine from the same stale report.
test('spreads work over the best two engines', () => {
  const candidates = [candidate('a'), candidate('b'), candidate('c', { ownInFlightCount: 4 })];
  assert.equal(choose(candidates, { random: 0.1 }), 'a');
  assert.equal(choose(candidates, { random: 0.9 }), 'b');
});

test('gives an old load report less weight than a fresh one', () => {
  const load = { runningCount: 6, queuedCount: 0, leaving: false, ageMs: 0, cachedPrefixHashes: [] };
  const fresh = candidate('fresh', { load, loadReadAtMs: 1_000 });
  const old = candidate('old', { load: { ...load, ageMs: 8_000 }, loadReadAtMs: 1_000 });
  assert.equal(choose([fresh, old]), 'old');
});

test('prefers the zone, then the region, and another region only when waiting costs more', () => {
  const zone = candidate('zone', { ownInFlightCount: 1 });
  const region = candidate('region', {}, 'near-b');
  const far = candidate('far', {}, 'far-a', 'far');
  assert.equal(choose([far, region, zone], { random: 0.9 }), 'zone');
  assert.equal(choose([far, region]), 'region');
  const loaded = candidate('loaded', { ownInFlightCount: 7 });
  assert.equal(choose([far, loaded], { farEngineCostMs: 50 }), 'far');
});

test('prefers an engine that has cached the prompt prefix, unless the prompt differs early', () => {
  const shared = 'lesson plan '.repeat(200);
  const sharedHashes = prefixHashes('small', [{ role: 'system', content: shared }]);
  const prefixes = new PrefixCacheEstimate();
  prefixes.add(sharedHashes);
  const warm = candidate('warm', { prefixes, ownInFlightCount: 1 });
  const longerHashes = prefixHashes('small', [{ role: 'system', content: `${shared}${'x'.repeat(300)}` }]);
  assert.ok(longerHashes.length > sharedHashes.length);
  assert.equal(choose([candidate('cold'), warm], { prefixHashes: longerHashes }), 'warm');
  const differentHashes = prefixHashes('small', [{ role: 'system', content: `y${shared}` }]);
  assert.equal(choose([candidate('cold'), warm], { prefixHashes: differentHashes }), 'cold');
});

test('bounds the prefix cache estimate and keeps the most recent prefixes', () => {
  const prefixes = new PrefixCacheEstimate();
  for (let index = 0; index < 10_000; index += 1) {
    prefixes.add([`hash-${index}`]);
  }
  assert.equal(prefixes.size, 4096);
  assert.equal(prefixes.cachedBlockCount(['hash-9999']), 1);
  assert.equal(prefixes.cachedBlockCount(['hash-0']), 0);
});
