import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { DEPLOYMENTS } from '../../deployment/deployments.ts';
import { planFleet } from '../../deployment/fleetPlan.ts';
import { faultDeployment } from '../faultDeployment.ts';
import { DEFAULT_OPTIONS, parseOptions } from '../options.ts';
import { lastLine } from '../report.ts';
import { SCENARIOS } from '../scenarios.ts';
import { FaultScenario } from '../types.ts';

describe('process fault scenarios', () => {
  it('runs every scenario once (a missing one would go unnoticed)', () => {
    const planned = SCENARIOS.map(({ scenario }) => scenario).sort();
    assert.deepEqual(planned, Object.values(FaultScenario).sort());
  });

  it('uses no address of the demo or of another scenario (a shared address would mix two runs)', () => {
    const faultDeployments = Object.values(FaultScenario).map((name) =>
      faultDeployment(name, DEFAULT_OPTIONS.basePort),
    );
    const addresses = [...DEPLOYMENTS, ...faultDeployments]
      .map(planFleet)
      .flatMap((plan) => [
        plan.platformAddress,
        plan.linkControlAddress,
        ...plan.relays.map(({ listen }) => listen),
        ...plan.routers.flatMap((router) => [router.callerAddress, router.peerAddress, router.adminAddress]),
        ...[...plan.engines, ...plan.services].map(({ address }) => address),
      ]);
    assert.equal(new Set(addresses).size, addresses.length);
  });

  it('rejects invalid options (a mistyped scenario would run nothing and pass)', () => {
    for (const raw of [{ only: 'router-kiled' }, { basePort: 80 }, { basePort: 'x' }, { lanes: 0 }]) {
      assert.ok(parseOptions(raw).isErr(), JSON.stringify(raw));
    }
    assert.deepEqual(parseOptions({})._unsafeUnwrap(), DEFAULT_OPTIONS);
  });

  it('counts a scenario without an audit as a violation in the last line', () => {
    const scenario = FaultScenario.LinkCut;
    const failed = { scenario, summary: undefined, cutOff: 0, violations: ['not ready'], notes: [] };
    const line = JSON.parse(lastLine([{ ...failed, durationMs: 1 }], true)) as { violations: number };
    assert.equal(line.violations, 1);
  });
});
