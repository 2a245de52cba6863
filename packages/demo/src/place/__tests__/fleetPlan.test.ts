import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { addressOverrides, memberRows, planFleet } from '../fleetPlan.ts';
import { PLACES } from '../places.ts';

describe('planFleet', () => {
  it('gives every process of all places its own address (a shared one would mix two places)', () => {
    const addresses = PLACES.map(planFleet).flatMap((plan) => [
      plan.platformAddress,
      plan.linkControlAddress,
      ...plan.relays.map(({ listen }) => listen),
      ...plan.routers.flatMap((router) => [router.callerAddress, router.peerAddress, router.adminAddress]),
      ...[...plan.engines, ...plan.services].map(({ address }) => address),
    ]);
    assert.equal(new Set(addresses).size, addresses.length);
  });

  for (const place of PLACES) {
    it(`${place.name} has the fleet of the task, and reaches the other region only through the link`, () => {
      const plan = planFleet(place);
      assert.equal(plan.routers.length, 7);
      assert.equal(new Set(plan.routers.map(({ availabilityZone }) => availabilityZone)).size, 3);
      assert.equal(plan.services.length, 3);
      assert.ok(plan.engines.length >= 4 && plan.engines.length <= 6);
      place.regions.forEach((region, index) => {
        const overrides = Object.entries(addressOverrides(plan, region));
        const far = memberRows(plan).filter((row) => row.region !== region);
        const targets = [
          ...far.map(({ address }) => address),
          ...(index === 1 ? [plan.platformAddress] : []),
        ];
        assert.deepEqual(overrides.map(([target]) => target).sort(), targets.sort());
        assert.ok(overrides.every(([, listen]) => listen.startsWith(`127.${index + 1}.`)));
      });
    });
  }
});
