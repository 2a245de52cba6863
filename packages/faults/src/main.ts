import { availableParallelism } from 'node:os';
import { Worker } from 'node:worker_threads';
import { Matrix } from './matrix.ts';
import type { MatrixOptions } from './options.ts';
import { parseOptions } from './options.ts';
import type { PlannedRun } from './planRuns.ts';
import { planRuns } from './planRuns.ts';
import { runOne } from './runOne.ts';
import type { RunReport } from './types.ts';

const MAX_WORKERS = 8;
const MAX_PRINTED_VIOLATIONS = 12;
const USAGE_EXIT_CODE = 2;

/** Executes the planned runs on worker threads and passes each report to `onReport`. */
async function runAll(runs: readonly PlannedRun[], onReport: (report: RunReport) => void): Promise<void> {
  const workerCount = Math.max(1, Math.min(MAX_WORKERS, availableParallelism() - 1, runs.length));
  const slices = Array.from({ length: workerCount }, (_, worker) =>
    runs.filter((_run, index) => index % workerCount === worker),
  );
  await Promise.all(slices.map((slice) => runSlice(slice, onReport)));
}

function runSlice(slice: readonly PlannedRun[], onReport: (report: RunReport) => void): Promise<void> {
  return new Promise((resolve, reject) => {
    const worker = new Worker(new URL('./startWorker.mjs', import.meta.url), { workerData: slice });
    worker.on('message', onReport);
    worker.on('error', reject);
    worker.on('exit', () => {
      resolve();
    });
  });
}

function describeFaults(report: RunReport): string {
  return report.faults.map(({ kind, step }) => `${kind}@${step}`).join('+') || 'none';
}

async function main(options: MatrixOptions): Promise<number> {
  const startedAtMs = Date.now();
  const matrix = new Matrix();
  const failed: RunReport[] = [];
  const runs = planRuns(options.runs, options.seed, (seed) => runOne(seed, []).stepCount);
  await runAll(runs, (report) => {
    matrix.add(report);
    if (report.violations.length > 0) {
      failed.push(report);
    }
  });
  console.log(`runs/violations by promise and fault, seed ${options.seed}`);
  console.log(matrix.format());
  failed.sort((a, b) => a.seed - b.seed || describeFaults(a).localeCompare(describeFaults(b)));
  for (const report of failed.slice(0, MAX_PRINTED_VIOLATIONS)) {
    const [first] = report.violations;
    console.log(
      `workload ${report.seed} faults ${describeFaults(report)}: ${first?.promise}: ${first?.detail}`,
    );
  }
  console.log(`${matrix.runs} runs in ${((Date.now() - startedAtMs) / 1_000).toFixed(1)} s`);
  const { violations, cellCount: cells, coveredCellCount: cellsCovered } = matrix;
  console.log(JSON.stringify({ runs: matrix.runs, violations, cells, cellsCovered }));
  return violations > 0 ? 1 : 0;
}

const options = parseOptions(process.argv.slice(2));
if (options.isErr()) {
  console.error(options.error);
  process.exitCode = USAGE_EXIT_CODE;
} else {
  process.exitCode = await main(options.value);
}
