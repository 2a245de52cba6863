import { mkdirSync, mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { ProcessGroup } from './processGroup.ts';
import { watchForAbort } from './watchForAbort.ts';

export interface ProcessRunOptions<T> {
  /** Prefix of the name of the temporary folder. */
  readonly folderPrefix: string;
  /** Names of the process groups; each group has its own folder. */
  readonly names: readonly string[];
  readonly limitMs: number;
  readonly print: (line: string) => void;
  /** Whether the run succeeded. Settings and logs of other runs are kept. */
  readonly succeeded: (result: T) => boolean;
}

/**
 * Runs `work` with process groups and stops all their processes afterwards, even after an error, a signal or the
 * time limit. Returns undefined if `work` did not complete.
 */
export async function runWithProcesses<T>(
  options: ProcessRunOptions<T>,
  work: (groups: readonly ProcessGroup[]) => Promise<T>,
): Promise<T | undefined> {
  const { names, print } = options;
  const folder = mkdtempSync(path.join(tmpdir(), options.folderPrefix));
  const groups = names.map((name) => createGroup(path.join(folder, name)));
  // Covers uncaught errors, after which no asynchronous cleanup runs.
  process.on('exit', () => {
    groups.forEach((group) => {
      group.killAll();
    });
  });
  const abortWatch = watchForAbort(options.limitMs);
  const workPromise = work(groups);
  let result: T | undefined;
  try {
    result = await Promise.race([workPromise, abortWatch.aborted]);
  } catch (error) {
    print(`the run failed: ${error instanceof Error ? error.message : String(error)}`);
  } finally {
    abortWatch.cancel();
    // Aborted work may still reject after its processes have been stopped.
    workPromise.catch(() => undefined);
    await Promise.all(groups.map((group) => group.stopAll()));
  }
  if (result !== undefined && options.succeeded(result)) {
    rmSync(folder, { recursive: true });
  } else {
    print(`settings and logs of the processes were kept in ${folder}`);
  }
  return result;
}

function createGroup(folder: string): ProcessGroup {
  mkdirSync(folder);
  return new ProcessGroup(folder);
}
