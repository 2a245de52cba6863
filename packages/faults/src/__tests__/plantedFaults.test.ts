import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { runOne } from '../runOne.ts';
import type { Tamper } from '../tamper.ts';
import { PromiseName } from '../types.ts';
import type { PlantedFault } from './plantedFaults.ts';
import { PLANTED_FAULTS } from './plantedFaults.ts';

/** Workloads that are tried in this order until one meets the planted fault. */
const WORKLOADS = [0, 1, 2, 3, 4, 5, 6, 7, 8, 9];

function combine(first: Tamper, second: Tamper): Tamper {
  return {
    setUp: (simulation) => {
      first.setUp?.(simulation);
      second.setUp?.(simulation);
    },
    event: (event, hostIndex) => {
      const changed = first.event?.(event, hostIndex) ?? event;
      return second.event?.(changed, hostIndex) ?? changed;
    },
    effect: (effect, hostIndex) => {
      const changed = first.effect?.(effect, hostIndex) ?? effect;
      return second.effect?.(changed, hostIndex) ?? changed;
    },
  };
}

function brokenPromises(workload: number, tamper: Tamper): PromiseName[] {
  return [...new Set(runOne(workload, [], tamper).violations.map(({ promise }) => promise))];
}

interface Finding {
  readonly workload: number;
  readonly broken: readonly PromiseName[];
}

function findWorkload({ disturb = {}, plant }: PlantedFault): Finding {
  for (const workload of WORKLOADS) {
    const broken = brokenPromises(workload, combine(disturb, plant()));
    if (broken.length > 0) {
      return { workload, broken };
    }
  }
  return { workload: 0, broken: [] };
}

// Guards against a checker that stays silent when its promise is broken: a matrix without violations proves nothing
// unless each checker flags a fault that certainly breaks its promise.
describe('the checkers of the fault matrix', () => {
  for (const fault of PLANTED_FAULTS) {
    it(`flag ${fault.promise} when ${fault.name}`, () => {
      const { workload, broken } = findWorkload(fault);
      assert.deepEqual(broken, [fault.promise]);
      assert.deepEqual(brokenPromises(workload, fault.disturb ?? {}), []);
    });
  }

  it('have a planted fault for each promise', () => {
    const planted = new Set(PLANTED_FAULTS.map(({ promise }) => promise));
    assert.deepEqual([...planted].sort(), Object.values(PromiseName).sort());
  });
});
