import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { RouterView } from '../routerRegistry.ts';
import { chooseEntryAddresses } from '../entryAddresses.ts';

function router(name: string, ready: boolean, changedAtMs: number): RouterView {
  return {
    entry: {
      routerId: name,
      incarnationId: `${name}-1`,
      callerAddress: `${name}:1`,
      peerAddress: `${name}:2`,
      region: 'x',
      availabilityZone: 'z',
      ready,
    },
    changedAtMs,
  };
}

const self = router('self', true, 0).entry;
const options = { routerSilentMs: 2_600 };
const storeReplyTimes = (storeLastReplyAtMs: number, storeRecoveredAtMs?: number) => ({
  storeLastReplyAtMs,
  storeRecoveredAtMs,
});

test('entry responses omit silent and draining routers', () => {
  const routers = [
    router('live', true, 9_000),
    router('silent', true, 5_000),
    router('stopping', false, 9_900),
  ];
  assert.deepEqual(chooseEntryAddresses(self, true, routers, 10_000, storeReplyTimes(10_000), options), [
    'self:1',
    'live:1',
  ]);
});

test('routers are not considered silent while the store is unreachable', () => {
  const routers = [router('live', true, 4_000)];
  assert.deepEqual(chooseEntryAddresses(self, true, routers, 60_000, storeReplyTimes(5_000), options), [
    'self:1',
    'live:1',
  ]);
});

test('a router that is not ready omits its own address', () => {
  assert.deepEqual(
    chooseEntryAddresses(self, false, [router('live', true, 0)], 100, storeReplyTimes(100), options),
    ['live:1'],
  );
});

test('after a store outage routers stay in the response until they had time to write a heartbeat', () => {
  // Guards against a response that lists only the responding router, which would send it all callers of a zone.
  const routers = [router('live', true, 4_000), router('silent', true, 3_000)];
  const addressesAt = (nowMs: number): string[] =>
    chooseEntryAddresses(self, true, routers, nowMs, storeReplyTimes(nowMs, 12_000), options);
  assert.deepEqual(addressesAt(12_100), ['self:1', 'live:1', 'silent:1']);
  routers[0] = router('live', true, 13_000);
  assert.deepEqual(addressesAt(14_700), ['self:1', 'live:1']);
});

test('callers of a large region are not sent to another region, unless too few of its routers are left', () => {
  const inRegion = (region: string, count: number, zones = 3): RouterView[] =>
    Array.from({ length: count }, (_, index) => {
      const view = router(`${region}-${index}`, true, 0);
      return { ...view, entry: { ...view.entry, region, availabilityZone: `zone-${index % zones}` } };
    });
  const choose = (count: number, region: string): string[] => {
    const routers = [...inRegion('x', 9), ...inRegion('y', count)];
    return chooseEntryAddresses(self, true, routers, 100, storeReplyTimes(100), options, { region });
  };
  assert.ok(choose(8, 'y').every((address) => address.startsWith('y-')));
  assert.ok(choose(8, 'x').every((address) => !address.startsWith('y-')));
  assert.equal(choose(7, 'y').length, 17);
  assert.equal(choose(8, 'unknown').length, 18);
  const oneZone = [...inRegion('x', 9), ...inRegion('y', 8, 1)];
  assert.equal(
    chooseEntryAddresses(self, true, oneZone, 100, storeReplyTimes(100), options, { region: 'y' }).length,
    18,
  );
});

test('of more routers than a response can hold, each is named to some callers, and to a caller always the same', () => {
  // Guards against routers that no caller ever learns of, and callers that change their connections at each response.
  const routers = Array.from({ length: 200 }, (_, index) => router(`router-${index}`, true, 0));
  const choose = (host: string): string[] =>
    chooseEntryAddresses(self, false, routers, 100, storeReplyTimes(100), options, { host });
  const named = new Map<string, number>();
  for (let caller = 0; caller < 300; caller += 1) {
    const addresses = choose(`10.0.0.${caller}`);
    assert.equal(addresses.length, 64);
    assert.deepEqual(choose(`10.0.0.${caller}`), addresses);
    for (const address of addresses) {
      named.set(address, (named.get(address) ?? 0) + 1);
    }
  }
  assert.equal(named.size, 200);
  // Each is named to 96 callers in the mean.
  assert.ok([...named.values()].every((count) => count > 48 && count < 144));
});

test('callers of a restricted host are sent to routers of their own region or of an allowed one', () => {
  const inRegion = (region: string, count: number): RouterView[] =>
    Array.from({ length: count }, (_, index) => {
      const view = router(`${region}-${index}`, true, 0);
      return { ...view, entry: { ...view.entry, region, availabilityZone: `zone-${index % 3}` } };
    });
  const choose = (counts: Readonly<Record<string, number>>, region?: string): Set<string> => {
    const routers = Object.entries(counts).flatMap(([name, count]) => inRegion(name, count));
    const caller = { region, allowedRegions: new Set(['y']) };
    const addresses = chooseEntryAddresses(self, true, routers, 100, storeReplyTimes(100), options, caller);
    return new Set(addresses.map((address) => (address === 'self:1' ? 'x' : (address[0] ?? ''))));
  };
  assert.deepEqual(choose({ x: 3, y: 3, w: 3 }, 'x'), new Set(['x', 'y']));
  assert.deepEqual(choose({ x: 3, y: 3, w: 3 }, 'w'), new Set(['y', 'w']));
  assert.deepEqual(choose({ x: 3, y: 3, w: 3 }, 'y'), new Set(['y']));
  assert.deepEqual(choose({ x: 3, y: 3, w: 3 }), new Set(['y']));
  // A large own region keeps its callers, as without a restriction.
  assert.deepEqual(choose({ x: 12, y: 12 }, 'x'), new Set(['x']));
  // Without a router that may be named, the response names none.
  assert.deepEqual(choose({ x: 3 }, 'w'), new Set());
});
