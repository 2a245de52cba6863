import type { ChildProcess } from 'node:child_process';
import { fork } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import type { Load, LoadOrder, LoadResult } from './loadTypes.ts';

/** A single process cannot read responses as fast as the pipe relays them. */
const GENERATOR_COUNT = 2;
const LOAD_PROCESS = fileURLToPath(new URL('loadProcess.ts', import.meta.url));

/** Splits the load of each order over several child processes and merges their results. */
export class LoadGenerators {
  readonly #children: ChildProcess[] = Array.from({ length: GENERATOR_COUNT }, () =>
    fork(LOAD_PROCESS, { execArgv: ['--import', 'tsx'] }),
  );

  async run(order: LoadOrder): Promise<LoadResult> {
    const part = { ...order, load: splitLoad(order.load) };
    const results = await Promise.all(this.#children.map((child) => runInChild(child, part)));
    return {
      answered: sum(results.map(({ answered }) => answered)),
      failed: sum(results.map(({ failed }) => failed)),
      elapsedMs: Math.max(...results.map(({ elapsedMs }) => elapsedMs)),
      firstTokenMs: results.flatMap(({ firstTokenMs }) => firstTokenMs),
      totalMs: results.flatMap(({ totalMs }) => totalMs),
    };
  }

  stop(): void {
    for (const child of this.#children) {
      child.kill('SIGKILL');
    }
  }
}

function runInChild(child: ChildProcess, order: LoadOrder): Promise<LoadResult> {
  return new Promise((resolve, reject) => {
    child.once('message', (result) => {
      child.removeAllListeners('exit');
      resolve(result as LoadResult);
    });
    child.once('exit', () => {
      reject(new Error('a load process exited before it sent its result'));
    });
    child.send(order);
  });
}

function splitLoad(load: Load): Load {
  switch (load.kind) {
    case 'closed':
      return { ...load, connectionCount: Math.ceil(load.connectionCount / GENERATOR_COUNT) };
    case 'open':
      return { ...load, requestsPerSecond: load.requestsPerSecond / GENERATOR_COUNT };
  }
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
