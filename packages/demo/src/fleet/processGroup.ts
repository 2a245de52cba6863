import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { closeSync, openSync, writeFileSync } from 'node:fs';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { stringify } from 'yaml';
import type { ProcessPlan } from '../deployment/processPlans.ts';

const REPOSITORY_ROOT = fileURLToPath(new URL('../../../..', import.meta.url));
const CLI_ENTRY = 'packages/cli/src/main.ts';
/** Time for a process to end by SIGTERM before it is killed. */
const STOP_WAIT_MS = 2_000;

/** The processes of the demo. Each is signalled through its own handle, so no other process is ever hit. */
export class ProcessGroup {
  readonly #folder: string;
  readonly #children = new Map<string, ChildProcess>();
  #stopped = false;

  constructor(folder: string) {
    this.#folder = folder;
  }

  start(plan: ProcessPlan): void {
    const settingsFile = path.join(this.#folder, `${plan.name}.yaml`);
    writeFileSync(settingsFile, stringify(plan.settings));
    this.startScript(plan.name, [CLI_ENTRY, ...plan.command, '--settings', settingsFile]);
  }

  /**
   * Starts a script of this repository. A group that is being stopped starts nothing more, or the new process
   * would not be waited for.
   */
  startScript(name: string, scriptAndArguments: readonly string[]): void {
    if (this.#stopped) {
      throw new Error(`${name} is not started: the run is ending`);
    }
    const log = openSync(path.join(this.#folder, `${name}.log`), 'a');
    const args = ['--import', 'tsx', ...scriptAndArguments];
    const child = spawn(process.execPath, args, { cwd: REPOSITORY_ROOT, stdio: ['ignore', log, log] });
    closeSync(log);
    this.#children.set(name, child);
  }

  /** Ends one process at once, as the loss of its VM does. */
  kill(name: string): void {
    this.signal(name, 'SIGKILL');
  }

  signal(name: string, signal: NodeJS.Signals): void {
    this.#children.get(name)?.kill(signal);
  }

  pidOf(name: string): number | undefined {
    return this.#children.get(name)?.pid;
  }

  /** The exit code of a process, or the signal that ended it; undefined while it runs. */
  exitOf(name: string): number | NodeJS.Signals | undefined {
    const child = this.#children.get(name);
    return child?.exitCode ?? child?.signalCode ?? undefined;
  }

  /** Names and exit codes of the processes that have ended. */
  ended(): string[] {
    return [...this.#children]
      .filter(([, child]) => !isRunning(child))
      .map(([name, child]) => `${name} (${child.exitCode ?? child.signalCode ?? 'not started'})`);
  }

  async stopAll(): Promise<void> {
    this.#stopped = true;
    const running = [...this.#children.values()].filter(isRunning);
    const exits = running.map((child) => new Promise((resolve) => child.once('exit', resolve)));
    for (const child of running) {
      child.kill('SIGTERM');
    }
    const timer = setTimeout(() => {
      this.killAll();
    }, STOP_WAIT_MS);
    await Promise.all(exits);
    clearTimeout(timer);
  }

  killAll(): void {
    for (const child of this.#children.values()) {
      if (isRunning(child)) {
        child.kill('SIGKILL');
      }
    }
  }
}

function isRunning(child: ChildProcess): boolean {
  return child.pid !== undefined && child.exitCode === null && child.signalCode === null;
}
