// Worker thread: executes a slice of the planned runs and posts each report.
import { parentPort, workerData } from 'node:worker_threads';
import type { PlannedRun } from './planRuns.ts';
import { runOne } from './runOne.ts';

for (const run of workerData as readonly PlannedRun[]) {
  parentPort?.postMessage(runOne(run.seed, run.faults));
}
