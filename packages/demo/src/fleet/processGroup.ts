import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { closeSync, openSync, writeFileSync } from 'node:fs';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { stringify } from 'yaml';
import type { ProcessPlan } from '../deployment/processPlans.ts';

const REPOSITORY_ROOT = fileURLToPath(new URL('../../../..', import.meta.url));
const CLI_ENTRY = 'packages/cli/src/main.ts';
/** Time between SIGTERM and SIGKILL. */
const STOP_GRACE_MS = 2_000;

/** Child processes of a run. They are signalled only through their handles, so no other process is affected. */
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
   * Starts a script of this repository. Throws once `stopAll` has been called, because it would not wait for the
   * new process.
   */
  startScript(name: string, scriptAndArguments: readonly string[]): void {
    if (this.#stopped) {
      throw new Error(`cannot start ${name}: the process group is stopping`);
    }
    const log = openSync(path.join(this.#folder, `${name}.log`), 'a');
    const args = ['--import', 'tsx', ...scriptAndArguments];
    const child = spawn(process.execPath, args, { cwd: REPOSITORY_ROOT, stdio: ['ignore', log, log] });
    closeSync(log);
    this.#children.set(name, child);
  }

  /** Kills a process with SIGKILL, to simulate the loss of its VM. */
  kill(name: string): void {
    this.signal(name, 'SIGKILL');
  }

  signal(name: string, signal: NodeJS.Signals): void {
    this.#children.get(name)?.kill(signal);
  }

  pidOf(name: string): number | undefined {
    return this.#children.get(name)?.pid;
  }

  /** Exit code of a process, or the signal that terminated it; undefined while it is running. */
  exitStatusOf(name: string): number | NodeJS.Signals | undefined {
    const child = this.#children.get(name);
    return child?.exitCode ?? child?.signalCode ?? undefined;
  }

  /** Names of the processes that have ended, each with its exit code or signal. */
  ended(): string[] {
    return [...this.#children]
      .filter(([, child]) => !isRunning(child))
      .map(([name, child]) => `${name} (${child.exitCode ?? child.signalCode ?? 'not started'})`);
  }

  /** Stops all processes with SIGTERM, and with SIGKILL after a grace period. */
  async stopAll(): Promise<void> {
    this.#stopped = true;
    const running = [...this.#children.values()].filter(isRunning);
    const exits = running.map((child) => new Promise((resolve) => child.once('exit', resolve)));
    for (const child of running) {
      child.kill('SIGTERM');
    }
    const timer = setTimeout(() => {
      this.killAll();
    }, STOP_GRACE_MS);
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
