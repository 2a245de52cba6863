import { seededRandom } from '@pimentostall/core';
import { FREEZE_MS, REGION_CUT_MS, STORE_DOWN_MS, STORE_SLOW_MS } from './options.ts';
import type { Fault } from './types.ts';
import { FaultKind } from './types.ts';

const FAULT_KINDS = Object.values(FaultKind);
/** Fraction of the runs that combine two faults. */
const FAULT_PAIR_FRACTION = 0.3;
/** Number of workloads (seeds of the traffic). Each has its own number of steps. */
const WORKLOAD_COUNT = 5;

export interface PlannedRun {
  readonly seed: number;
  readonly faults: readonly Fault[];
}

/** Returns the number of steps of a workload without faults. */
export type StepCounter = (seed: number) => number;

/**
 * Spreads the runs over workloads, fault kinds and steps. Single faults are stratified over the steps of the workload;
 * pairs come from the seeded generator.
 */
export function planRuns(runs: number, seed: number, countSteps: StepCounter): PlannedRun[] {
  const random = seededRandom(seed);
  const workloads = Array.from({ length: WORKLOAD_COUNT }, (_, index) => seed * WORKLOAD_COUNT + index);
  const stepCounts = workloads.map((workload) => countSteps(workload));
  const singleCount = Math.floor(runs * (1 - FAULT_PAIR_FRACTION));
  return Array.from({ length: runs }, (_, index) => {
    const workloadIndex = index % WORKLOAD_COUNT;
    const workload = workloads[workloadIndex] ?? seed;
    const stepCount = stepCounts[workloadIndex] ?? 1;
    if (index >= singleCount) {
      const randomKind = (): FaultKind =>
        FAULT_KINDS[Math.floor(random() * FAULT_KINDS.length)] ?? FaultKind.CrashBefore;
      const randomStep = (): number => Math.floor(random() * stepCount);
      return {
        seed: workload,
        faults: [createFault(randomKind(), randomStep()), createFault(randomKind(), randomStep())],
      };
    }
    const kind =
      FAULT_KINDS[Math.floor(index / WORKLOAD_COUNT) % FAULT_KINDS.length] ?? FaultKind.CrashBefore;
    const round = Math.floor(index / (WORKLOAD_COUNT * FAULT_KINDS.length));
    const rounds = Math.max(1, Math.ceil(singleCount / (WORKLOAD_COUNT * FAULT_KINDS.length)));
    const step = Math.floor(((round + random()) * stepCount) / rounds);
    return { seed: workload, faults: [createFault(kind, step)] };
  });
}

/** Creates a fault with the duration of its kind. */
export function createFault(kind: FaultKind, step: number): Fault {
  return { kind, step, durationMs: durationMs(kind) };
}

function durationMs(kind: FaultKind): number {
  switch (kind) {
    case FaultKind.Freeze:
    case FaultKind.FreezeInWindow:
      return FREEZE_MS;
    case FaultKind.RegionCut:
      return REGION_CUT_MS;
    case FaultKind.StoreDown:
      return STORE_DOWN_MS;
    case FaultKind.StoreSlow:
      return STORE_SLOW_MS;
    case FaultKind.CrashBefore:
    case FaultKind.CrashAfter:
    case FaultKind.ReplyLost:
    case FaultKind.Duplicate:
    case FaultKind.Reorder:
      return 0;
  }
}

/** Parses the name of a fault kind as printed by the matrix. */
export function parseFaultKind(name: string): FaultKind {
  const kind = new Map<string, FaultKind>(FAULT_KINDS.map((candidate) => [candidate, candidate])).get(name);
  if (kind === undefined) {
    throw new Error(`Unknown fault "${name}". Use one of ${FAULT_KINDS.join(', ')}.`);
  }
  return kind;
}
