import type { CoreEvent, Effect, ClockReading, StepResult } from '@pimentostall/core';
import { EventKind } from '@pimentostall/core';
import type { Logger } from 'pino';

/** The part of the loop that adapters use. */
export interface EventSink {
  submit(event: CoreEvent): void;
  /**
   * Resolves when the core has processed the events submitted so far and their effects have been executed.
   */
  waitForStep(): Promise<void>;
}

/** The part of RouterCore that the loop uses. */
export interface SteppableCore {
  step(events: readonly CoreEvent[], clock: ClockReading): StepResult;
}

/** Timers of the loop; injected, so that tests control when they fire. */
export interface LoopTimers {
  /** Runs the task after the I/O events that are already pending. */
  scheduleImmediate(task: () => void): void;
  setTimer(task: () => void, delayMs: number): unknown;
  clearTimer(timer: unknown): void;
}

export const SYSTEM_TIMERS: LoopTimers = {
  scheduleImmediate: (task) => setImmediate(task),
  setTimer: (task, delayMs) => setTimeout(task, delayMs),
  clearTimer: (timer) => {
    clearTimeout(timer as NodeJS.Timeout);
  },
};

export interface RouterLoopSetup {
  readonly core: SteppableCore;
  readonly readClock: () => ClockReading;
  readonly timers: LoopTimers;
  readonly maxStepIntervalMs: number;
  readonly logger: Logger;
  readonly execute: (effect: Effect, steppedAt: ClockReading) => void;
}

/**
 * Collects events, steps the core with them and executes its effects in order. An exception in a step or an
 * effect is logged and ends only that step or effect, so that no input can stop the router.
 */
export class RouterLoop implements EventSink {
  private events: CoreEvent[] = [];
  private waiters: (() => void)[] = [];
  private stepScheduled = false;
  private stopped = false;
  private timer: unknown = undefined;

  constructor(private readonly setup: RouterLoopSetup) {}

  start(): void {
    this.submit({ kind: EventKind.Tick });
  }

  stop(): void {
    this.stopped = true;
    this.setup.timers.clearTimer(this.timer);
    this.resolveWaiters();
  }

  submit(event: CoreEvent): void {
    this.events.push(event);
    this.scheduleStep();
  }

  waitForStep(): Promise<void> {
    if (this.stopped) {
      return Promise.resolve();
    }
    this.scheduleStep();
    return new Promise((resolve) => this.waiters.push(resolve));
  }

  private scheduleStep(): void {
    if (this.stepScheduled || this.stopped) {
      return;
    }
    this.stepScheduled = true;
    this.setup.timers.scheduleImmediate(() => {
      this.runStep();
    });
  }

  private runStep(): void {
    this.stepScheduled = false;
    if (this.stopped) {
      return;
    }
    const events = this.events;
    this.events = [];
    const clock = this.setup.readClock();
    const nextDeadlineMs = this.stepCore(events, clock);
    this.resolveWaiters();
    this.armTimer(nextDeadlineMs);
  }

  private stepCore(events: readonly CoreEvent[], clock: ClockReading): number {
    try {
      const { effects, nextDeadlineMs } = this.setup.core.step(events, clock);
      for (const effect of effects) {
        this.executeSafely(effect, clock);
      }
      return nextDeadlineMs;
    } catch (cause) {
      const kinds = events.map((event) => event.kind);
      this.setup.logger.error({ err: cause, kinds }, 'A step of the core failed; its events are lost');
      return Infinity;
    }
  }

  private executeSafely(effect: Effect, clock: ClockReading): void {
    try {
      this.setup.execute(effect, clock);
    } catch (cause) {
      this.setup.logger.error({ err: cause, effect: effect.kind }, 'An effect could not be executed');
    }
  }

  private armTimer(nextDeadlineMs: number): void {
    const { timers, readClock, maxStepIntervalMs } = this.setup;
    timers.clearTimer(this.timer);
    const untilDeadlineMs = Math.max(0, nextDeadlineMs - readClock().monotonicMs);
    const delayMs = Math.ceil(Math.min(untilDeadlineMs, maxStepIntervalMs));
    this.timer = timers.setTimer(() => {
      this.submit({ kind: EventKind.Tick });
    }, delayMs);
  }

  private resolveWaiters(): void {
    const waiters = this.waiters;
    this.waiters = [];
    for (const release of waiters) {
      release();
    }
  }
}
