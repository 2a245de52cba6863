import { parentPort } from 'node:worker_threads';
import { runRouting } from './runRouting.ts';
import type { RunPlan } from './types.ts';

/** Executes each run that it is given and posts the result, which asks for the next run. */
parentPort?.on('message', (plan: RunPlan) => {
  parentPort?.postMessage({ plan, figures: runRouting(plan) });
});
