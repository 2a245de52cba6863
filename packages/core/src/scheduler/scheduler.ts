import type { Task, Wait } from './task.ts';

interface RunningTask {
  readonly name: string;
  readonly generator: Task<void>;
  wait: Wait | undefined;
  runnable: boolean;
}

/** Called when a task throws: the defect is reported and the other tasks go on. */
export type TaskFailureHandler = (taskName: string, cause: unknown) => void;

/**
 * Runs tasks on one thread. Tasks that became runnable in a step run in the order in which they became runnable,
 * so that the same events and seed always give the same effects.
 */
export class Scheduler {
  private readonly tasks = new Set<RunningTask>();
  private readonly runQueue: RunningTask[] = [];

  constructor(private readonly onTaskFailure: TaskFailureHandler) {}

  /** Adds a task; it first runs in the current or the next call of `run`. */
  spawn(name: string, generator: Task<void>): void {
    const task: RunningTask = { name, generator, wait: undefined, runnable: false };
    this.tasks.add(task);
    this.makeRunnable(task);
  }

  /** Runs every runnable task until all wait. */
  run(nowMs: number): void {
    this.wakeExpired(nowMs);
    for (let task = this.runQueue.shift(); task !== undefined; task = this.runQueue.shift()) {
      this.resume(task, nowMs);
    }
  }

  /** The earliest deadline that any task waits for, in monotonic milliseconds; Infinity if there is none. */
  get nextDeadlineMs(): number {
    let earliestMs = Infinity;
    for (const task of this.tasks) {
      earliestMs = Math.min(earliestMs, task.wait?.deadlineMs ?? Infinity);
    }
    return earliestMs;
  }

  get taskCount(): number {
    return this.tasks.size;
  }

  private wakeExpired(nowMs: number): void {
    for (const task of this.tasks) {
      if (task.wait !== undefined && task.wait.deadlineMs <= nowMs) {
        this.makeRunnable(task);
      }
    }
  }

  private makeRunnable(task: RunningTask): void {
    if (!task.runnable) {
      task.runnable = true;
      this.runQueue.push(task);
    }
  }

  private resume(task: RunningTask, nowMs: number): void {
    task.runnable = false;
    this.detach(task);
    try {
      const result = task.generator.next(undefined);
      if (result.done === true) {
        this.tasks.delete(task);
        return;
      }
      this.park(task, result.value, nowMs);
    } catch (cause) {
      this.tasks.delete(task);
      this.onTaskFailure(task.name, cause);
    }
  }

  private park(task: RunningTask, wait: Wait, nowMs: number): void {
    task.wait = wait;
    for (const channel of wait.channels) {
      channel.attachWaiter(() => {
        this.makeRunnable(task);
      });
    }
    if (wait.deadlineMs <= nowMs || wait.channels.some((channel) => channel.size > 0)) {
      this.makeRunnable(task);
    }
  }

  private detach(task: RunningTask): void {
    for (const channel of task.wait?.channels ?? []) {
      channel.detachWaiter();
    }
    task.wait = undefined;
  }
}
