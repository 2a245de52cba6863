import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  ColdFleet,
  LONGEST_LINK_MS,
  MAX_REQUESTS_PER_WINDOW,
  REQUESTS_PER_SECOND,
  WARMUP_MS,
} from './coldFleet.ts';

/** Time after which all routers of a fleet know each other well enough to use the allowance. */
const SETTLED_MS = 4_000;
const MAX_LAG_MS = 600;
/** Time after which all requests have arrived that were sent before the last router had read the row of an engine. */
const KNOWN_AFTER_MS = MAX_LAG_MS + LONGEST_LINK_MS + 10;

for (const seed of [1, 2, 3]) {
  test(`an engine that becomes cold under full load stays within the bound once its row is read (seed ${seed})`, () => {
    const fleet = new ColdFleet({ seed });
    fleet.advance(SETTLED_MS);
    const coldAtMs = fleet.nowMs;
    assert.ok(
      fleet.maxRequestsPerWindow('engine-0', coldAtMs - 2_000, coldAtMs) > MAX_REQUESTS_PER_WINDOW,
      'the load before does not exceed the bound, so that the test shows nothing',
    );
    fleet.restartEngine('engine-0', MAX_LAG_MS);
    fleet.advance(WARMUP_MS);
    const knownAtMs = coldAtMs + KNOWN_AFTER_MS;
    const most = fleet.maxRequestsPerWindow('engine-0', knownAtMs, coldAtMs + WARMUP_MS);
    assert.ok(most <= MAX_REQUESTS_PER_WINDOW, `${most} requests in one second`);
    assert.equal(fleet.refusals.length, 0, 'requests were refused although warm engines were available');
  });

  test(`a zone of cold engines stays within the bound, and the warm engines take the rest (seed ${seed})`, () => {
    const fleet = new ColdFleet({ seed });
    fleet.advance(SETTLED_MS);
    const coldAtMs = fleet.nowMs;
    const engineIds = fleet.engineIdsOfZone('a');
    for (const upstreamId of engineIds) {
      fleet.restartEngine(upstreamId, MAX_LAG_MS);
    }
    fleet.advance(WARMUP_MS);
    const knownAtMs = coldAtMs + KNOWN_AFTER_MS;
    for (const upstreamId of engineIds) {
      const most = fleet.maxRequestsPerWindow(upstreamId, knownAtMs, coldAtMs + WARMUP_MS);
      assert.ok(most <= MAX_REQUESTS_PER_WINDOW, `${most} requests in one second at ${upstreamId}`);
    }
    assert.equal(fleet.refusals.length, 0, 'requests were refused although warm engines were available');
  });

  test(`two views of the membership stay within the bound together (seed ${seed})`, () => {
    const fleet = new ColdFleet({ seed });
    fleet.routers.forEach((router, index) => {
      router.group = index % 2;
    });
    fleet.advance(SETTLED_MS);
    const coldAtMs = fleet.nowMs;
    const engineIds = [...fleet.arrivals.keys()];
    for (const upstreamId of engineIds) {
      fleet.restartEngine(upstreamId, MAX_LAG_MS);
    }
    fleet.advance(WARMUP_MS);
    const knownAtMs = coldAtMs + KNOWN_AFTER_MS;
    const mosts = engineIds.map((upstreamId) =>
      fleet.maxRequestsPerWindow(upstreamId, knownAtMs, coldAtMs + WARMUP_MS),
    );
    assert.ok(Math.max(...mosts) <= MAX_REQUESTS_PER_WINDOW, `${Math.max(...mosts)} requests in one second`);
    assert.ok(Math.max(...mosts) > REQUESTS_PER_SECOND + 1, 'the views do not differ');
  });

  test(`the bound holds while a third of the routers lose the store, and they stop (seed ${seed})`, () => {
    const fleet = new ColdFleet({ seed });
    fleet.advance(SETTLED_MS);
    const cut = fleet.routers.filter((_, index) => index % 3 === 0);
    const engineIds = [...fleet.arrivals.keys()];
    const restartAll = (): void => {
      for (const upstreamId of engineIds) {
        fleet.restartEngine(upstreamId, MAX_LAG_MS);
      }
    };
    restartAll();
    fleet.advance(1_000);
    const firstCheckAtMs = fleet.nowMs;
    for (const router of cut) {
      router.storeReachable = false;
    }
    fleet.advance(1_990);
    const firstEndAtMs = fleet.nowMs;
    // They do not learn of the second start.
    for (const router of cut) {
      for (const view of router.context.board.upstreams.values()) {
        view.markCold(Infinity);
      }
    }
    restartAll();
    fleet.advance(KNOWN_AFTER_MS);
    const secondCheckAtMs = fleet.nowMs;
    fleet.advance(WARMUP_MS - KNOWN_AFTER_MS - 10);
    const cutIds = new Set(cut.map(({ entry }) => entry.routerId));
    for (const upstreamId of engineIds) {
      for (const [fromMs, untilMs] of [
        [firstCheckAtMs, firstEndAtMs],
        [secondCheckAtMs, fleet.nowMs],
      ] as const) {
        const most = fleet.maxRequestsPerWindow(upstreamId, fromMs, untilMs);
        assert.ok(most <= MAX_REQUESTS_PER_WINDOW, `${most} requests in one second at ${upstreamId}`);
      }
      const late = fleet.arrivalsOf(upstreamId, secondCheckAtMs + 500, fleet.nowMs);
      assert.ok(
        late.every(({ routerId }) => !cutIds.has(routerId)),
        'a router without the store sent a request',
      );
    }
  });

  test(`the bound holds while routers end and others start (seed ${seed})`, () => {
    const fleet = new ColdFleet({ seed });
    fleet.advance(SETTLED_MS);
    const engineIds = [...fleet.arrivals.keys()];
    for (const upstreamId of engineIds) {
      fleet.restartEngine(upstreamId, MAX_LAG_MS);
    }
    fleet.advance(KNOWN_AFTER_MS);
    const knownAtMs = fleet.nowMs;
    const started = Array.from({ length: 10 }, (_, index) => {
      const router = fleet.routers[index * 3];
      if (router !== undefined) {
        router.running = false;
      }
      fleet.advance(100);
      return fleet.startRouter().entry.routerId;
    });
    fleet.advance(WARMUP_MS - KNOWN_AFTER_MS - 1_010);
    for (const upstreamId of engineIds) {
      const most = fleet.maxRequestsPerWindow(upstreamId, knownAtMs, fleet.nowMs);
      assert.ok(most <= MAX_REQUESTS_PER_WINDOW, `${most} requests in one second at ${upstreamId}`);
      assert.ok(
        fleet
          .arrivalsOf(upstreamId, knownAtMs, fleet.nowMs)
          .every(({ routerId }) => !started.includes(routerId)),
        'a router that had just started sent a request to a cold engine',
      );
    }
  });
}

test('a service of which all engines are cold uses most of the allowance and refuses the rest at once', () => {
  const fleet = new ColdFleet({ engineCount: 10, requestsPerSecond: 400 });
  fleet.advance(SETTLED_MS);
  const engineIds = [...fleet.arrivals.keys()];
  for (const upstreamId of engineIds) {
    fleet.restartEngine(upstreamId, 100);
  }
  fleet.advance(1_000);
  const fromMs = fleet.nowMs;
  fleet.advance(1_900);
  const sent = engineIds.reduce(
    (sum, upstreamId) => sum + fleet.arrivalsOf(upstreamId, fromMs, fleet.nowMs).length,
    0,
  );
  const tolerated = engineIds.length * REQUESTS_PER_SECOND * 1.9;
  assert.ok(sent > 0.6 * tolerated, `${sent} of ${tolerated} tolerated requests were sent`);
  assert.ok(sent <= 1.1 * tolerated, `${sent} of ${tolerated} tolerated requests were sent`);
  const refused = fleet.refusals.filter(({ atMs }) => atMs >= fromMs);
  assert.ok(refused.length > 0);
  assert.ok(refused.every(({ retryInMs }) => retryInMs !== undefined && retryInMs <= 1_200));
});

test('the load returns to an engine in steps after its cold time', () => {
  const fleet = new ColdFleet();
  fleet.advance(SETTLED_MS);
  const usual = fleet.arrivalsOf('engine-0', fleet.nowMs - 1_000, fleet.nowMs).length;
  fleet.restartEngine('engine-0', 10);
  fleet.advance(WARMUP_MS + 20);
  const warmAtMs = fleet.nowMs;
  fleet.advance(4_000);
  const first = fleet.arrivalsOf('engine-0', warmAtMs, warmAtMs + 500).length;
  assert.ok(first <= usual / 2, `${first} requests in half a second, usually ${usual} in a second`);
  const last = fleet.arrivalsOf('engine-0', warmAtMs + 3_000, warmAtMs + 4_000).length;
  assert.ok(last >= usual / 2, `${last} requests in a second, usually ${usual}`);
});

for (const { routerCount, engineCount, requestsPerSecond, darkMs, seed } of [
  { routerCount: 60, engineCount: 30, requestsPerSecond: 300, darkMs: 2_000, seed: 1 },
  { routerCount: 60, engineCount: 30, requestsPerSecond: 300, darkMs: 5_000, seed: 2 },
  { routerCount: 190, engineCount: 98, requestsPerSecond: 1_000, darkMs: 3_000, seed: 3 },
]) {
  test(`a zone that is dark for ${darkMs} ms stays within the bound from its return, although a third of ${routerCount} routers are without the store and rows are 2 s late`, () => {
    const fleet = new ColdFleet({ routerCount, engineCount, requestsPerSecond, seed });
    fleet.advance(SETTLED_MS);
    const engineIds = fleet.engineIdsOfZone('a');
    for (const upstreamId of engineIds) {
      fleet.darkEngineIds.add(upstreamId);
    }
    fleet.routers.forEach((router, index) => {
      router.storeReachable = index % 3 !== 0;
    });
    fleet.advance(darkMs);
    const backAtMs = fleet.nowMs;
    fleet.darkEngineIds.clear();
    for (const upstreamId of engineIds) {
      fleet.restartEngine(upstreamId, 2_000);
    }
    fleet.advance(WARMUP_MS);
    for (const upstreamId of engineIds) {
      const most = fleet.maxRequestsPerWindow(upstreamId, backAtMs, fleet.nowMs);
      assert.ok(most <= MAX_REQUESTS_PER_WINDOW, `${most} requests in one second at ${upstreamId}`);
    }
    assert.equal(fleet.refusals.length, 0, 'requests were refused although warm engines were available');
  });
}

test('routers that all start at the same moment send nothing to cold engines at first, and then stay within the bound', () => {
  const fleet = new ColdFleet({ engineCount: 10, requestsPerSecond: 400 });
  fleet.advance(SETTLED_MS);
  const engineIds = [...fleet.arrivals.keys()];
  const ended = [...fleet.routers];
  for (const router of ended) {
    router.running = false;
  }
  for (const upstreamId of engineIds) {
    fleet.restartEngine(upstreamId, 100);
  }
  fleet.advance(LONGEST_LINK_MS + 300);
  const startedAtMs = fleet.nowMs;
  const started = ended.map(() => fleet.startRouter());
  for (const { context } of started) {
    for (const view of context.board.upstreams.values()) {
      assert.equal(
        view.isCold(startedAtMs),
        true,
        'the row of a cold engine was not used at the first reading',
      );
      // The cold time is extended, so that it outlasts the time without requests.
      view.markCold(Infinity);
    }
  }
  fleet.advance(6_000);
  const arrivals = engineIds.map((upstreamId) => fleet.arrivalsOf(upstreamId, startedAtMs, fleet.nowMs));
  assert.ok(arrivals.flat().every(({ atMs }) => atMs >= startedAtMs + 2_500));
  for (const [index, upstreamId] of engineIds.entries()) {
    assert.ok((arrivals[index]?.length ?? 0) > 0, `${upstreamId} got no request`);
    const most = fleet.maxRequestsPerWindow(upstreamId, startedAtMs, fleet.nowMs);
    assert.ok(most <= MAX_REQUESTS_PER_WINDOW, `${most} requests in one second at ${upstreamId}`);
  }
});
