import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { runOne } from '../runOne.ts';
import type { SimulationHooks } from '../simulationHooks.ts';
import { PromiseName } from '../types.ts';
import type { PlantedFault } from './plantedFaults.ts';
import { PLANTED_FAULTS } from './plantedFaults.ts';

/** Tried in this order until the planted fault causes a violation. */
const WORKLOADS = [0, 1, 2, 3, 4, 5, 6, 7, 8, 9];

function combineHooks(first: SimulationHooks, second: SimulationHooks): SimulationHooks {
  return {
    setUp: (simulation) => {
      first.setUp?.(simulation);
      second.setUp?.(simulation);
    },
    mapEvent: (event, hostIndex) => {
      const changed = first.mapEvent?.(event, hostIndex) ?? event;
      return second.mapEvent?.(changed, hostIndex) ?? changed;
    },
    mapEffect: (effect, hostIndex) => {
      const changed = first.mapEffect?.(effect, hostIndex) ?? effect;
      return second.mapEffect?.(changed, hostIndex) ?? changed;
    },
  };
}

function violatedPromises(workload: number, hooks: SimulationHooks): PromiseName[] {
  return [...new Set(runOne(workload, [], hooks).violations.map(({ promise }) => promise))];
}

interface Finding {
  readonly workload: number;
  readonly violated: readonly PromiseName[];
}

function findViolatingWorkload({ baselineHooks = {}, createHooks }: PlantedFault): Finding {
  for (const workload of WORKLOADS) {
    const violated = violatedPromises(workload, combineHooks(baselineHooks, createHooks()));
    if (violated.length > 0) {
      return { workload, violated };
    }
  }
  return { workload: 0, violated: [] };
}

// Guards against a checker that misses violations of its promise, which would make a matrix without violations
// meaningless. Each planted fault is certain to break its promise and must be reported.
describe('the checkers of the fault matrix', () => {
  for (const fault of PLANTED_FAULTS) {
    it(`flag ${fault.promise} when ${fault.name}`, () => {
      const { workload, violated } = findViolatingWorkload(fault);
      assert.deepEqual(violated, [fault.promise]);
      assert.deepEqual(violatedPromises(workload, fault.baselineHooks ?? {}), []);
    });
  }

  it('have a planted fault for each promise', () => {
    const planted = new Set(PLANTED_FAULTS.map(({ promise }) => promise));
    assert.deepEqual([...planted].sort(), Object.values(PromiseName).sort());
  });
});
