import { mkdirSync, mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { endSignal } from './endSignal.ts';
import { ProcessGroup } from './processGroup.ts';

export interface ProcessRunOptions<T> {
  /** First part of the name of the temporary folder. */
  readonly folderPrefix: string;
  /** One process group with a folder of its own for each name. */
  readonly names: readonly string[];
  readonly limitMs: number;
  readonly print: (line: string) => void;
  /** Settings and logs are kept unless the run succeeded. */
  readonly succeeded: (result: T) => boolean;
}

/**
 * Runs work with process groups and ends all their processes afterwards: also after an error, a signal or the
 * time limit. Returns undefined if the work did not come to its end.
 */
export async function runWithProcesses<T>(
  options: ProcessRunOptions<T>,
  work: (groups: readonly ProcessGroup[]) => Promise<T>,
): Promise<T | undefined> {
  const { names, print } = options;
  const folder = mkdtempSync(path.join(tmpdir(), options.folderPrefix));
  const groups = names.map((name) => createGroup(path.join(folder, name)));
  // Also covers an uncaught error, after which no asynchronous cleanup runs.
  process.on('exit', () => {
    groups.forEach((group) => {
      group.killAll();
    });
  });
  const ending = endSignal(options.limitMs);
  const running = work(groups);
  let result: T | undefined;
  try {
    result = await Promise.race([running, ending.reached]);
  } catch (error) {
    print(`the run failed: ${error instanceof Error ? error.message : String(error)}`);
  } finally {
    ending.cancel();
    // Work that was given up may still fail after its processes are stopped.
    running.catch(() => undefined);
    await Promise.all(groups.map((group) => group.stopAll()));
  }
  if (result !== undefined && options.succeeded(result)) {
    rmSync(folder, { recursive: true });
  } else {
    print(`settings and logs of the processes are in ${folder}`);
  }
  return result;
}

function createGroup(folder: string): ProcessGroup {
  mkdirSync(folder);
  return new ProcessGroup(folder);
}
