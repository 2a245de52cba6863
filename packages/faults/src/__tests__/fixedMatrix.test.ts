import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Matrix } from '../matrix.ts';
import { createFault } from '../planRuns.ts';
import { runOne } from '../runOne.ts';
import { FaultKind } from '../types.ts';

const WORKLOADS = [0, 1];
const FAULT_KINDS = Object.values(FaultKind);
/** Steps per fault kind and workload, spread over the run. */
const STEPS_PER_KIND = 5;
const PAIR_COUNT = 10;

interface FixedRun {
  readonly workload: number;
  readonly faults: ReturnType<typeof createFault>[];
}

/** Offsets the steps of each kind, so that nearly every run injects its fault at a different step. */
function singleFaultRuns(workload: number, stepCount: number): FixedRun[] {
  return FAULT_KINDS.flatMap((kind, kindIndex) =>
    Array.from({ length: STEPS_PER_KIND }, (_, round) => {
      const position = (round + kindIndex / FAULT_KINDS.length) / STEPS_PER_KIND;
      return { workload, faults: [createFault(kind, Math.floor(position * stepCount))] };
    }),
  );
}

/** Two faults of different kinds, the second about a fifth of the run after the first. */
function faultPairRuns(workload: number, stepCount: number): FixedRun[] {
  return Array.from({ length: PAIR_COUNT / WORKLOADS.length }, (_, index) => {
    const first = FAULT_KINDS[(2 * index + workload) % FAULT_KINDS.length] ?? FaultKind.CrashBefore;
    const second = FAULT_KINDS[(2 * index + workload + 3) % FAULT_KINDS.length] ?? FaultKind.CrashAfter;
    const step = Math.floor(((index + 0.5) / PAIR_COUNT) * stepCount);
    return {
      workload,
      faults: [createFault(first, step), createFault(second, step + Math.floor(stepCount / 5))],
    };
  });
}

/** Executes the runs and returns a line per violation with the command that repeats it. */
function collectViolations(runs: readonly FixedRun[], matrix: Matrix): string[] {
  return runs.flatMap(({ workload, faults }) => {
    const report = runOne(workload, faults);
    matrix.add(report);
    const replay = `${workload} ${faults.map(({ kind, step }) => `${kind}@${step}`).join(' ')}`;
    return report.violations.map(
      ({ promise, detail }) => `faults:replay -- ${replay}: ${promise}: ${detail}`,
    );
  });
}

// Guards against a change of the core that breaks a promise under one or two faults. Injects every kind of fault at
// steps spread over two workloads; `npm run faults` runs the full matrix.
describe('the fixed part of the fault matrix', () => {
  const stepCounts = new Map(WORKLOADS.map((workload) => [workload, runOne(workload, []).stepCount]));

  it('has no violation under single faults and covers every promise with every fault', () => {
    const matrix = new Matrix();
    const runs = WORKLOADS.flatMap((workload) => singleFaultRuns(workload, stepCounts.get(workload) ?? 1));
    assert.deepEqual(collectViolations(runs, matrix), []);
    assert.equal(matrix.coveredCellCount, matrix.cellCount);
    assert.equal(matrix.runs, 100);
  });

  for (const workload of WORKLOADS) {
    for (const run of faultPairRuns(workload, stepCounts.get(workload) ?? 1)) {
      it(`has no violation in workload ${workload} under ${run.faults.map(({ kind }) => kind).join(' and ')}`, () => {
        assert.deepEqual(collectViolations([run], new Matrix()), []);
      });
    }
  }
});
