import { availableParallelism } from 'node:os';
import { Worker } from 'node:worker_threads';
import type { BenchTask, TaskResult } from './runTask.ts';

const MAX_WORKERS = 8;

/** Runs the tasks in order on a pool of worker threads; an idle thread takes the next task. */
export async function runTasks(tasks: readonly BenchTask[]): Promise<TaskResult[]> {
  const queuedTasks = [...tasks];
  const results: TaskResult[] = [];
  const workerCount = Math.max(1, Math.min(MAX_WORKERS, availableParallelism() - 1, tasks.length));
  await Promise.all(Array.from({ length: workerCount }, () => runWorker(queuedTasks, results)));
  return results;
}

function runWorker(queuedTasks: BenchTask[], results: TaskResult[]): Promise<void> {
  return new Promise((resolve, reject) => {
    const worker = new Worker(new URL('./startWorker.mjs', import.meta.url));
    const postNext = (): void => {
      const task = queuedTasks.shift();
      if (task === undefined) {
        worker.terminate().then(() => {
          resolve();
        }, reject);
        return;
      }
      worker.postMessage(task);
    };
    worker.on('message', (result: TaskResult) => {
      results.push(result);
      postNext();
    });
    worker.on('error', reject);
    postNext();
  });
}
