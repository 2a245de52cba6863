import { parentPort } from 'node:worker_threads';
import { runRouting } from './runRouting.ts';
import type { RunPlan } from './types.ts';

/** Executes each run that it receives and posts the result; the main thread then sends the next run. */
parentPort?.on('message', (plan: RunPlan) => {
  parentPort?.postMessage({ plan, figures: runRouting(plan) });
});
