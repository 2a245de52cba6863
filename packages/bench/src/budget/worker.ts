import { parentPort } from 'node:worker_threads';
import type { BenchTask } from './runTask.ts';
import { runTask } from './runTask.ts';

/** Runs each task that the main thread posts and posts the result back. */
parentPort?.on('message', (task: BenchTask) => {
  parentPort?.postMessage(runTask(task));
});
