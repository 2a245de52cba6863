import type { Blackboard, RouterIdentity } from './blackboard.ts';
import { createBlackboard } from './createBlackboard.ts';
import type { CoreContext } from './context.ts';
import { startControllers } from './controllers.ts';
import { dispatchEvent } from './dispatchEvent.ts';
import { checkForPause } from './money/checkForPause.ts';
import type { RandomSource } from './random.ts';
import { randomIdentifier } from './random.ts';
import { Scheduler } from './scheduler/scheduler.ts';
import type { Effect } from './types/effects.ts';
import { EffectKind, LogLevel } from './types/effects.ts';
import type { ConfigurationParser } from './types/configuration.ts';
import type { CoreEvent, ClockReading } from './types/events.ts';
import type { CoreOptions } from './types/options.ts';
import { DEFAULT_CORE_OPTIONS } from './types/options.ts';

export interface RouterCoreSetup {
  readonly identity: RouterIdentity;
  readonly random: RandomSource;
  readonly clock: ClockReading;
  readonly parseConfiguration: ConfigurationParser;
  readonly options?: Partial<CoreOptions>;
}

/** The effects of a step and the latest time of the next step. */
export interface StepResult {
  readonly effects: readonly Effect[];
  /** Monotonic time in milliseconds; Infinity if no task has a deadline. */
  readonly nextDeadlineMs: number;
}

/**
 * The decision core of one router. It performs no I/O and reads no clock, so that tests and benchmarks can
 * drive it: they pass in events and the time, and execute the returned effects in order.
 */
export class RouterCore {
  readonly board: Blackboard;
  private readonly scheduler: Scheduler;
  private readonly context: CoreContext;
  private clock: ClockReading;
  private effects: Effect[] = [];

  constructor(setup: RouterCoreSetup) {
    this.clock = setup.clock;
    this.board = createBlackboard(setup.identity, randomIdentifier(setup.random));
    this.scheduler = new Scheduler((taskName, cause) => {
      this.reportTaskFailure(taskName, cause);
    });
    this.context = this.createContext(setup);
    startControllers(this.context);
  }

  step(events: readonly CoreEvent[], clock: ClockReading): StepResult {
    const previousClock = this.clock;
    this.clock = clock;
    checkForPause(this.context, previousClock);
    for (const event of events) {
      dispatchEvent(this.context, event);
    }
    this.scheduler.run(clock.monotonicMs);
    const effects = this.effects;
    this.effects = [];
    return { effects, nextDeadlineMs: this.scheduler.nextDeadlineMs };
  }

  private createContext(setup: RouterCoreSetup): CoreContext {
    const currentClock = (): ClockReading => this.clock;
    return {
      board: this.board,
      options: { ...DEFAULT_CORE_OPTIONS, ...setup.options },
      get clock() {
        return currentClock();
      },
      parseConfiguration: setup.parseConfiguration,
      emit: (effect) => {
        this.effects.push(effect);
      },
      spawn: (name, task) => {
        this.scheduler.spawn(name, task);
      },
      newId: () => randomIdentifier(setup.random),
      random: setup.random,
    };
  }

  private reportTaskFailure(taskName: string, cause: unknown): void {
    const detail = cause instanceof Error ? (cause.stack ?? cause.message) : String(cause);
    this.effects.push({
      kind: EffectKind.Log,
      level: LogLevel.Error,
      message: 'A core task failed; other tasks continue. Please report this as a defect.',
      fields: { taskName, detail },
    });
  }
}
