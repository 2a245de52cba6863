import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { AllKnowingLedger } from '../allKnowingLedger.ts';
import { parseOptions } from '../options.ts';
import { runTask } from '../runTask.ts';
import { ScenarioName, StrategyName } from '../types.ts';
import { createWorkload } from '../workload.ts';

const REQUESTS = 120;

function figuresOf(scenario: ScenarioName, strategy: StrategyName): ReturnType<typeof runTask>['figures'] {
  return runTask({ scenario, strategy, seed: 1, requests: REQUESTS, core: {} }).figures;
}

describe('budget benchmark', () => {
  // Guards against cores that overspend a budget and against a harness that answers no request.
  it('runs real cores without overspend and ends every request', () => {
    for (const scenario of [ScenarioName.LastToken, ScenarioName.RouterDeath]) {
      const figures = figuresOf(scenario, StrategyName.Pimentostall);
      assert.equal(figures.overspendMicros, 0);
      assert.ok(figures.refusalRate < 1, `every request was refused in ${scenario}`);
      assert.ok(figures.storeWritesPerRequest > 0);
      assert.equal(figures.failureRate, 0);
    }
  });

  // Guards against a ledger that counts correct refusals as false, which would shift every false refusal rate.
  it('counts no false refusals of the all-knowing ledger and some of the store baseline in an outage', () => {
    assert.equal(figuresOf(ScenarioName.LastToken, StrategyName.AllKnowing).falseRefusalRate, 0);
    assert.ok(figuresOf(ScenarioName.LastToken, StrategyName.AllKnowing).refusalRate > 0);
    assert.ok(figuresOf(ScenarioName.StoreOutage, StrategyName.StorePerRequest).falseRefusalRate > 0);
  });

  // Guards against a static split that spends funds twice or loses part of them.
  it('spends no more than the budgets in the baselines', () => {
    for (const strategy of [
      StrategyName.StaticSplit,
      StrategyName.StorePerRequest,
      StrategyName.AllKnowing,
    ]) {
      assert.equal(figuresOf(ScenarioName.RegionCut, strategy).overspendMicros, 0);
    }
  });

  // Guards against comparing strategies on different requests.
  it('creates the same workload from the same seed', () => {
    const first = createWorkload(ScenarioName.RegionCut, 3, REQUESTS);
    assert.deepEqual(createWorkload(ScenarioName.RegionCut, 3, REQUESTS), first);
    assert.notDeepEqual(createWorkload(ScenarioName.RegionCut, 4, REQUESTS).requests, first.requests);
  });

  // Guards against an overspend that the benchmark does not report.
  it('counts usage beyond the funding as overspend', () => {
    const ledger = new AllKnowingLedger([
      { organisationId: 'a', keySha256: '', entryWeight: 1, fundedMicros: 10, topUpMicros: 0 },
    ]);
    ledger.start('a', 8);
    assert.equal(ledger.covers('a', 3), false);
    ledger.finish('a', 8, 12);
    assert.equal(ledger.overspendMicros, 2);
  });

  // Guards against a mistyped option that silently changes what is measured.
  it('refuses unknown options', () => {
    assert.equal(parseOptions(['--seeds', '2', '--requests', '9'])._unsafeUnwrap().requests, 9);
    for (const words of [
      ['--seeds', '0'],
      ['--unknown', '1'],
      ['--core', '{"noOption":1}'],
    ]) {
      assert.ok(parseOptions(words).isErr());
    }
  });
});
