import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { DEPLOYMENTS } from '../deployments.ts';
import { addressOverrides, memberRows, planFleet } from '../fleetPlan.ts';

describe('planFleet', () => {
  it('assigns unique addresses across all deployments (a shared address would mix two deployments)', () => {
    const addresses = DEPLOYMENTS.map(planFleet).flatMap((plan) => [
      plan.platformAddress,
      plan.linkControlAddress,
      ...plan.relays.map(({ listen }) => listen),
      ...plan.routers.flatMap((router) => [router.callerAddress, router.peerAddress, router.adminAddress]),
      ...[...plan.engines, ...plan.services].map(({ address }) => address),
    ]);
    assert.equal(new Set(addresses).size, addresses.length);
  });

  for (const deployment of DEPLOYMENTS) {
    it(`${deployment.name} has the required fleet and reaches the other region only through the link`, () => {
      const plan = planFleet(deployment);
      assert.equal(plan.routers.length, 7);
      assert.equal(new Set(plan.routers.map(({ availabilityZone }) => availabilityZone)).size, 3);
      assert.equal(plan.services.length, 3);
      assert.ok(plan.engines.length >= 4 && plan.engines.length <= 6);
      deployment.regions.forEach((region, index) => {
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
