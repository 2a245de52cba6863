import assert from 'node:assert/strict';
import { test } from 'node:test';
import { seededRandom } from '@pimentostall/core';
import { configurationRelays } from '../../configuration/configurationRelays.ts';
import type { SimulatedRouter } from '../../configuration/__tests__/simulatedRouters.ts';
import { Region, SimulatedRouters } from '../../configuration/__tests__/simulatedRouters.ts';

const ROUTERS = 62;
/** Time after the write within which no router may send anything to an evacuated zone. */
const BOUND_MS = 5_000;
/** Time for which the relays keep a version of the configuration; the zones take the same way. */
const RELAYED_BOUND_MS = 4_000;

async function startFleet(seed: number, routerCount = ROUTERS): Promise<SimulatedRouters> {
  const fleet = new SimulatedRouters(routerCount, seededRandom(seed));
  fleet.startAll();
  await fleet.spreadMs(fleet.put(), 10_000);
  await fleet.advance(4_000);
  return fleet;
}

/** Evacuates exactly these zones and waits until the routers know them; returns the time that it took. */
async function evacuate(
  fleet: SimulatedRouters,
  zones: readonly string[],
  { limitMs, routers = fleet.routers }: { limitMs: number; routers?: readonly SimulatedRouter[] },
): Promise<number> {
  fleet.evacuate(zones);
  return waitForZones(fleet, zones, { limitMs, routers });
}

async function waitForZones(
  fleet: SimulatedRouters,
  zones: readonly string[],
  { limitMs, routers = fleet.routers }: { limitMs: number; routers?: readonly SimulatedRouter[] },
): Promise<number> {
  const startedAtMs = fleet.timeline.nowMs;
  const late = (): SimulatedRouter[] =>
    routers.filter(({ context }) => [...context.board.evacuations.zones].join() !== zones.join());
  while (late().length > 0 && fleet.timeline.nowMs - startedAtMs < limitMs) {
    await fleet.advance(50);
  }
  assert.deepEqual(
    late().map(({ index }) => index),
    [],
    `the zones are not known everywhere after ${limitMs} ms`,
  );
  return fleet.timeline.nowMs - startedAtMs;
}

function farRelays(fleet: SimulatedRouters): SimulatedRouter[] {
  const context = fleet.routers[1]?.context;
  assert.ok(context !== undefined);
  return configurationRelays(context).flatMap(({ routerId }) => fleet.find(routerId) ?? []);
}

for (const routerCount of [9, ROUTERS]) {
  test(`${routerCount} routers learn of evacuations and of their ends in time`, async () => {
    const fleet = await startFleet(1, routerCount);
    for (const zones of [['near-0'], ['near-0', 'far-1'], ['far-1'], []]) {
      const spreadMs = await evacuate(fleet, zones, { limitMs: BOUND_MS });
      assert.ok(spreadMs <= 2_000, `${spreadMs} ms`);
      await fleet.advance(700);
    }
  });
}

test('an evacuation costs no read of the document and no poll in a busy loop', async () => {
  const fleet = await startFleet(2);
  const before = { ...fleet.documentReads };
  const pollsBefore = fleet.pollCount;
  fleet.evacuate(['near-0']);
  await fleet.advance(10_000);
  assert.deepEqual(fleet.documentReads, before);
  const pollsPerSecond = (fleet.pollCount - pollsBefore) / 10 / ROUTERS;
  assert.ok(pollsPerSecond <= 2, `${pollsPerSecond} polls a second by each router`);
});

test('relays that die or are cut off from the store do not delay an evacuation beyond its bound', async () => {
  for (let seed = 10; seed < 14; seed += 1) {
    const fleet = await startFleet(seed);
    const broken = farRelays(fleet).slice(0, 2);
    const [dead, cutOff] = broken;
    assert.ok(dead !== undefined && cutOff !== undefined);
    fleet.kill(dead.index);
    cutOff.storeReachable = false;
    await fleet.advance((seed - 10) * 250);
    const routers = fleet.routers.filter((router) => !broken.includes(router));
    const spreadMs = await evacuate(fleet, ['far-2'], { limitMs: RELAYED_BOUND_MS, routers });
    assert.ok(spreadMs <= RELAYED_BOUND_MS, `${spreadMs} ms`);
  }
});

test('a router that is cut off from the store learns of an evacuation from a relay', async () => {
  const fleet = await startFleet(20);
  const relays = farRelays(fleet);
  const cutOff = fleet.routers.filter((router) => router.region === Region.Far && !relays.includes(router));
  for (const router of cutOff) {
    router.storeReachable = false;
  }
  await evacuate(fleet, ['far-0'], { limitMs: RELAYED_BOUND_MS, routers: [...cutOff, ...relays] });
});

test('during an outage of the store the zones stay as they were, and after it they are the current ones', async () => {
  const fleet = await startFleet(21);
  await evacuate(fleet, ['near-0', 'far-0'], { limitMs: BOUND_MS });
  for (const router of fleet.routers) {
    router.storeReachable = false;
  }
  await fleet.advance(12_000);
  for (const { context } of fleet.routers) {
    assert.deepEqual([...context.board.evacuations.zones], ['near-0', 'far-0']);
  }
  fleet.evacuate(['far-0']);
  fleet.truncateHistory();
  for (const router of fleet.routers) {
    router.storeReachable = true;
  }
  await waitForZones(fleet, ['far-0'], { limitMs: BOUND_MS });
});

test('a router that starts knows the evacuated zones once it has a document', async () => {
  const fleet = await startFleet(22);
  await evacuate(fleet, ['far-0'], { limitMs: BOUND_MS });
  for (const index of [1, 2, 31, 40]) {
    fleet.kill(index);
    fleet.start(index);
    const router = fleet.routers[index];
    assert.ok(router !== undefined);
    while (router.received === undefined) {
      await fleet.advance(1);
    }
    assert.deepEqual([...router.context.board.evacuations.zones], ['far-0'], `router ${index}`);
  }
});

test('relays of an older build leave their followers what they know, and new ones bring it up to date', async () => {
  const fleet = await startFleet(23);
  await evacuate(fleet, ['far-0'], { limitMs: BOUND_MS });
  fleet.relaysKnowZones = false;
  fleet.evacuate([]);
  await fleet.spreadMs(fleet.put(), RELAYED_BOUND_MS);
  const relays = farRelays(fleet);
  const followers = fleet.routers.filter(
    (router) => router.region === Region.Far && !relays.includes(router),
  );
  for (const { context } of followers) {
    assert.deepEqual([...context.board.evacuations.zones], ['far-0']);
  }
  fleet.relaysKnowZones = true;
  await waitForZones(fleet, [], { limitMs: RELAYED_BOUND_MS });
});
