import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Matrix } from '../matrix.ts';
import { createFault } from '../planRuns.ts';
import { runOne } from '../runOne.ts';
import { FaultKind } from '../types.ts';

const WORKLOADS = [0, 1];
const KINDS = Object.values(FaultKind);
/** Steps per fault kind and workload, spread over the run. */
const STEPS_PER_KIND = 5;
const PAIR_COUNT = 10;

interface FixedRun {
  readonly workload: number;
  readonly faults: ReturnType<typeof createFault>[];
}

/** Kinds start at different steps, so that all kinds together meet about as many steps as there are runs. */
function singleRuns(workload: number, stepCount: number): FixedRun[] {
  return KINDS.flatMap((kind, kindIndex) =>
    Array.from({ length: STEPS_PER_KIND }, (_, round) => {
      const position = (round + kindIndex / KINDS.length) / STEPS_PER_KIND;
      return { workload, faults: [createFault(kind, Math.floor(position * stepCount))] };
    }),
  );
}

/** Each kind followed by another one about a fifth of the run later. */
function pairRuns(workload: number, stepCount: number): FixedRun[] {
  return Array.from({ length: PAIR_COUNT / WORKLOADS.length }, (_, index) => {
    const first = KINDS[(2 * index + workload) % KINDS.length] ?? FaultKind.CrashBefore;
    const second = KINDS[(2 * index + workload + 3) % KINDS.length] ?? FaultKind.CrashAfter;
    const step = Math.floor(((index + 0.5) / PAIR_COUNT) * stepCount);
    return {
      workload,
      faults: [createFault(first, step), createFault(second, step + Math.floor(stepCount / 5))],
    };
  });
}

/** Runs the cells and returns a line to repeat each violation. */
function failuresOf(runs: readonly FixedRun[], matrix: Matrix): string[] {
  return runs.flatMap(({ workload, faults }) => {
    const report = runOne(workload, faults);
    matrix.add(report);
    const replay = `${workload} ${faults.map(({ kind, step }) => `${kind}@${step}`).join(' ')}`;
    return report.violations.map(
      ({ promise, detail }) => `faults:replay -- ${replay}: ${promise}: ${detail}`,
    );
  });
}

// Guards against a change of the core that breaks a promise under one fault or two: every kind of fault at steps
// spread over two workloads. The full matrix is `npm run faults`.
describe('the fixed part of the fault matrix', () => {
  const stepCounts = new Map(WORKLOADS.map((workload) => [workload, runOne(workload, []).stepCount]));

  it('has no violation under single faults and covers every promise with every fault', () => {
    const matrix = new Matrix();
    const runs = WORKLOADS.flatMap((workload) => singleRuns(workload, stepCounts.get(workload) ?? 1));
    assert.deepEqual(failuresOf(runs, matrix), []);
    assert.equal(matrix.coveredCellCount, matrix.cellCount);
    assert.equal(matrix.runs, 100);
  });

  for (const workload of WORKLOADS) {
    for (const run of pairRuns(workload, stepCounts.get(workload) ?? 1)) {
      it(`has no violation in workload ${workload} under ${run.faults.map(({ kind }) => kind).join(' and ')}`, () => {
        assert.deepEqual(failuresOf([run], new Matrix()), []);
      });
    }
  }
});
