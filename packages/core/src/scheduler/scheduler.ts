import type { DeadlineEntry } from './deadlineHeap.ts';
import { DeadlineHeap } from './deadlineHeap.ts';
import type { Task, Wait } from './task.ts';

interface RunningTask extends DeadlineEntry {
  readonly name: string;
  /** Sequence number among all tasks ever spawned. */
  readonly spawnOrder: number;
  readonly generator: Task<void>;
  wait: Wait | undefined;
  runnable: boolean;
}

/** Handles the error of a task that throws. The other tasks keep running. */
export type TaskFailureHandler = (taskName: string, cause: unknown) => void;

/**
 * A cooperative, single-threaded task scheduler. Within a step, tasks run in the order in which they became
 * runnable, so that the same events and seed always produce the same effects.
 */
export class Scheduler {
  private readonly tasks = new Set<RunningTask>();
  private spawnedCount = 0;
  /** Tasks that wait with a finite deadline. */
  private readonly deadlines = new DeadlineHeap<RunningTask>();
  private readonly runQueue: RunningTask[] = [];

  constructor(private readonly onTaskFailure: TaskFailureHandler) {}

  /** Adds a task, which first runs during the current or next call to `run`. */
  spawn(name: string, generator: Task<void>): void {
    const task: RunningTask = {
      name,
      spawnOrder: this.spawnedCount,
      generator,
      wait: undefined,
      runnable: false,
      deadlineMs: Infinity,
      heapIndex: undefined,
    };
    this.spawnedCount += 1;
    this.tasks.add(task);
    this.makeRunnable(task);
  }

  /** Runs tasks until none is runnable. */
  run(nowMs: number): void {
    this.wakeExpired(nowMs);
    for (let task = this.runQueue.shift(); task !== undefined; task = this.runQueue.shift()) {
      this.resume(task, nowMs);
    }
  }

  /** Earliest deadline of any waiting task, in monotonic milliseconds; Infinity if there is none. */
  get nextDeadlineMs(): number {
    return this.deadlines.earliest?.deadlineMs ?? Infinity;
  }

  get taskCount(): number {
    return this.tasks.size;
  }

  /** Makes expired tasks runnable in spawn order, regardless of their deadlines. */
  private wakeExpired(nowMs: number): void {
    const expired: RunningTask[] = [];
    for (;;) {
      const task = this.deadlines.earliest;
      if (task === undefined || task.deadlineMs > nowMs) {
        break;
      }
      this.deadlines.remove(task);
      expired.push(task);
    }
    expired.sort((a, b) => a.spawnOrder - b.spawnOrder);
    for (const task of expired) {
      this.makeRunnable(task);
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
    this.clearWait(task);
    try {
      const result = task.generator.next(undefined);
      if (result.done === true) {
        this.tasks.delete(task);
        return;
      }
      this.suspend(task, result.value, nowMs);
    } catch (cause) {
      this.tasks.delete(task);
      this.deadlines.remove(task);
      this.onTaskFailure(task.name, cause);
    }
  }

  private suspend(task: RunningTask, wait: Wait, nowMs: number): void {
    task.wait = wait;
    task.deadlineMs = wait.deadlineMs;
    if (wait.deadlineMs < Infinity) {
      this.deadlines.add(task);
    }
    for (const channel of wait.channels) {
      channel.attachWaiter(() => {
        this.makeRunnable(task);
      });
    }
    if (wait.deadlineMs <= nowMs || wait.channels.some((channel) => channel.size > 0)) {
      this.makeRunnable(task);
    }
  }

  private clearWait(task: RunningTask): void {
    for (const channel of task.wait?.channels ?? []) {
      channel.detachWaiter();
    }
    this.deadlines.remove(task);
    task.wait = undefined;
  }
}
