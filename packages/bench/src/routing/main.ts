import { Worker } from 'node:worker_threads';
import type { RoutingBenchOptions } from './options.ts';
import { parseOptions } from './options.ts';
import { planRuns } from './planRuns.ts';
import { SCENARIOS } from './scenarios.ts';
import { formatTable, ttftP95Ratios } from './summary.ts';
import type { RunPlan, RunResult } from './types.ts';

/** Limits the load on a shared machine. */
const WORKER_COUNT = 5;
const USAGE_EXIT_CODE = 2;

/** Executes plans on one worker thread until the list, which all threads share, is empty. */
function runWorker(plans: RunPlan[], results: RunResult[]): Promise<void> {
  return new Promise((resolve, reject) => {
    const worker = new Worker(new URL('./startWorker.mjs', import.meta.url));
    const next = (): void => {
      const plan = plans.shift();
      if (plan === undefined) {
        void worker.terminate().then(() => {
          resolve();
        });
        return;
      }
      worker.postMessage(plan);
    };
    worker.on('error', reject);
    worker.on('message', (result: RunResult) => {
      results.push(result);
      next();
    });
    next();
  });
}

async function main(options: RoutingBenchOptions): Promise<void> {
  const startedAtMs = Date.now();
  const results: RunResult[] = [];
  const plans = planRuns(options);
  await Promise.all(Array.from({ length: WORKER_COUNT }, () => runWorker(plans, results)));
  const order = SCENARIOS.map(({ name }) => name);
  results.sort((a, b) => order.indexOf(a.plan.scenario.name) - order.indexOf(b.plan.scenario.name));
  const seconds = ((Date.now() - startedAtMs) / 1_000).toFixed(1);
  console.log(formatTable(results));
  console.log(`${results.length} runs, seeds 1 to ${options.seeds}, scale ${options.scale}, ${seconds} s`);
  console.log(JSON.stringify({ ttftP95Ratio: ttftP95Ratios(results) }));
}

const options = parseOptions(process.argv.slice(2));
if (options.isErr()) {
  console.error(options.error);
  process.exitCode = USAGE_EXIT_CODE;
} else {
  await main(options.value);
}
