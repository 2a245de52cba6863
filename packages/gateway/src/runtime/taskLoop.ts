import type { Task } from '@pimentostall/core';
import { Channel, receive, Scheduler } from '@pimentostall/core';

export interface LoopClock {
  /** Monotonic time in milliseconds. */
  nowMs(): number;
  /** Runs the callback after a delay; returns a function that cancels the timer. */
  startTimer(delayMs: number, callback: () => void): () => void;
}

/** Called when a task throws. The task ends, and the other tasks continue. */
export type TaskFailureHandler = (taskName: string, cause: unknown) => void;

/** Delay of a timer from which the event loop counts as stalled: longer than a busy VM delays one. */
const STALL_MS = 300;

/** Interval between the times at which periodic work may start. */
const TICK_MS = 50;

/** Event loop for generator tasks: resumes a task when its channel receives an item or its deadline expires. */
export class TaskLoop {
  private readonly scheduler: Scheduler;
  private running = false;
  private armedDeadlineMs = Infinity;
  private cancelTimer: (() => void) | undefined;
  private maxTimerDelayMs = 0;
  private lastStallEndMs = -Infinity;

  constructor(
    private readonly clock: LoopClock,
    onTaskFailure: TaskFailureHandler,
  ) {
    this.scheduler = new Scheduler(onTaskFailure);
  }

  nowMs(): number {
    return this.clock.nowMs();
  }

  /**
   * Returns the time of the tick that is nearest to the end of a delay. Periodic work that waits for ticks shares its
   * wake-ups, each of which often costs more than the work itself.
   */
  nearestTickMs(delayMs: number): number {
    return Math.round((this.clock.nowMs() + delayMs) / TICK_MS) * TICK_MS;
  }

  spawn(name: string, task: Task<void>): void {
    this.scheduler.spawn(name, task);
    this.run();
  }

  push<T>(channel: Channel<T>, item: T): void {
    channel.push(item);
    this.run();
  }

  /** Awaits a promise, which must not reject. */
  *settled<T>(promise: Promise<T>): Task<T> {
    const channel = new Channel<{ value: T }>();
    void promise.then((value) => {
      this.push(channel, { value });
    });
    for (;;) {
      const item = yield* receive(channel, Infinity);
      if (item !== undefined) {
        return item.value;
      }
    }
  }

  /** Returns the longest delay of a timer since the last call: how long the event loop was blocked, in milliseconds. */
  takeMaxTimerDelayMs(): number {
    const delayMs = this.maxTimerDelayMs;
    this.maxTimerDelayMs = 0;
    return delayMs;
  }

  /** Monotonic time at which the last stall of the event loop ended, such as a freeze of the VM; -Infinity without one. */
  get stalledUntilMs(): number {
    return this.lastStallEndMs;
  }

  private run(): void {
    if (this.running) {
      return;
    }
    this.running = true;
    try {
      this.scheduler.run(this.clock.nowMs());
    } finally {
      this.running = false;
    }
    this.armTimer();
  }

  /** Keeps one timer for the earliest deadline. If that deadline moves back, the timer fires early and re-arms. */
  private armTimer(): void {
    const deadlineMs = this.scheduler.nextDeadlineMs;
    if (deadlineMs >= this.armedDeadlineMs) {
      return;
    }
    this.cancelTimer?.();
    this.armedDeadlineMs = deadlineMs;
    const delayMs = Math.max(0, Math.ceil(deadlineMs - this.clock.nowMs()));
    this.cancelTimer = this.clock.startTimer(delayMs, () => {
      const nowMs = this.clock.nowMs();
      this.maxTimerDelayMs = Math.max(this.maxTimerDelayMs, nowMs - deadlineMs);
      if (nowMs - deadlineMs >= STALL_MS) {
        this.lastStallEndMs = nowMs;
      }
      this.armedDeadlineMs = Infinity;
      this.cancelTimer = undefined;
      this.run();
    });
  }
}
