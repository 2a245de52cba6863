import type { Effect } from '@pimentostall/core';
import { CallerRequestKind, EffectKind, EventKind, RefusalReason, Verdict } from '@pimentostall/core';
import { DEFAULT_SIMULATED_ENGINE_OPTIONS } from '@pimentostall/standins';
import { KEY_SHA256 } from './configuration.ts';
import type { OverloadOptions } from './options.ts';
import {
  CALLER_MAX_TRIES,
  ENGINE_COUNT,
  FAILURE_INTERVAL_MS,
  INTERACTIVE_FRACTION,
  MAX_OUTPUT_TOKENS,
  MAX_RUNNING,
  MODEL_BATCH,
  MODEL_INTERACTIVE,
  OVERLOAD_FACTOR,
  ROUTER_COUNT,
} from './options.ts';
import { OverloadSimulation } from './overloadSimulation.ts';

/** Allows the cores to read their configuration and draw shares first. */
const FIRST_REQUEST_MS = 2_000;
/** Answers given while the queues first fill up are not counted as goodput. */
const MEASUREMENT_START_MS = 4_000;
const MS_PER_SECOND = 1_000;

export interface ClassFigures {
  requests: number;
  answered: number;
  /** Number of refused exchanges, by reason. */
  readonly refusals: Record<string, number>;
}

export interface OverloadFigures {
  readonly capacityPerSecond: number;
  /** Interactive requests answered per second during the overload, relative to the capacity. */
  readonly interactiveGoodputRatio: number;
  /** Attempts on engines per caller request; a request that its caller retries counts once. */
  readonly attemptsPerRequest: number;
  readonly attemptsPerAnswer: number;
  readonly withoutVerdict: number;
  readonly defects: number;
  readonly classes: Readonly<Record<string, ClassFigures>>;
}

/** Returns the requests per second that full batches complete without idle time between requests. */
function capacityPerSecond(): number {
  const { tokenIntervalMs, tokenIntervalPerSequenceMs } = DEFAULT_SIMULATED_ENGINE_OPTIONS;
  const intervalMs = tokenIntervalMs + (MAX_RUNNING - 1) * tokenIntervalPerSequenceMs;
  const meanTokens = MAX_OUTPUT_TOKENS * 0.75;
  return (ENGINE_COUNT * MAX_RUNNING * MS_PER_SECOND) / (meanTokens * intervalMs);
}

function sumOf(classes: Readonly<Record<string, ClassFigures>>, field: 'requests' | 'answered'): number {
  return Object.values(classes).reduce((sum, figures) => sum + figures[field], 0);
}

class OverloadBench {
  readonly #simulation: OverloadSimulation;
  readonly #options: OverloadOptions;
  readonly #classes: Record<string, ClassFigures> = {
    [MODEL_INTERACTIVE]: { requests: 0, answered: 0, refusals: {} },
    [MODEL_BATCH]: { requests: 0, answered: 0, refusals: {} },
  };
  #exchangeCount = 0;
  #withoutVerdictCount = 0;
  #goodputCount = 0;

  constructor(options: OverloadOptions) {
    this.#options = options;
    this.#simulation = new OverloadSimulation(options.seed);
  }

  run(): OverloadFigures {
    const capacity = capacityPerSecond();
    const endMs = FIRST_REQUEST_MS + this.#options.durationMs;
    this.#scheduleArrivals(MODEL_INTERACTIVE, capacity * INTERACTIVE_FRACTION, endMs);
    this.#scheduleArrivals(MODEL_BATCH, capacity * (OVERLOAD_FACTOR - INTERACTIVE_FRACTION), endMs);
    this.#scheduleEngineFailures(endMs);
    this.#simulation.run(endMs);
    const seconds = (endMs - MEASUREMENT_START_MS) / MS_PER_SECOND;
    return {
      capacityPerSecond: capacity,
      interactiveGoodputRatio: this.#goodputCount / (seconds * capacity),
      attemptsPerRequest: this.#simulation.attemptCount / Math.max(1, sumOf(this.#classes, 'requests')),
      attemptsPerAnswer: this.#simulation.attemptCount / Math.max(1, sumOf(this.#classes, 'answered')),
      withoutVerdict: this.#withoutVerdictCount,
      defects: this.#simulation.failedTasks.length,
      classes: this.#classes,
    };
  }

  #scheduleArrivals(model: string, requestsPerSecond: number, endMs: number): void {
    let atMs = FIRST_REQUEST_MS;
    for (let index = 0; atMs < endMs; index += 1) {
      this.#simulation.queue.add(atMs, () => {
        const figures = this.#classes[model];
        if (figures !== undefined) {
          figures.requests += 1;
          this.#sendRequest(model, `${model}-${index}`, 1);
        }
      });
      atMs += (-Math.log(1 - this.#simulation.random()) * MS_PER_SECOND) / requestsPerSecond;
    }
  }

  #scheduleEngineFailures(endMs: number): void {
    for (let atMs = FIRST_REQUEST_MS; atMs < endMs; atMs += FAILURE_INTERVAL_MS) {
      const engine = this.#simulation.engines[Math.floor(this.#simulation.random() * ENGINE_COUNT)];
      this.#simulation.queue.add(atMs, () => engine?.fail());
    }
  }

  #sendRequest(model: string, key: string, tryNumber: number): void {
    this.#exchangeCount += 1;
    const exchangeId = `exchange-${this.#exchangeCount}`;
    this.#simulation.listeners.set(exchangeId, (effect) => {
      this.#onEffect(model, key, tryNumber, effect);
    });
    this.#simulation.send((this.#exchangeCount + tryNumber) % ROUTER_COUNT, {
      kind: EventKind.CallerArrived,
      exchangeId,
      request: {
        kind: CallerRequestKind.ChatCompletion,
        model,
        messages: [{ role: 'user', content: `Please explain ${key}.` }],
        maxOutputTokens: MAX_OUTPUT_TOKENS,
        stream: true,
      },
      metadata: {
        keySha256: KEY_SHA256,
        idempotencyKey: key,
        redirected: false,
        target: '/v1/chat/completions',
      },
    });
  }

  #onEffect(model: string, key: string, tryNumber: number, effect: Effect): void {
    const figures = this.#classes[model];
    if (figures === undefined) {
      return;
    }
    if (effect.kind === EffectKind.CallerEnd) {
      figures.answered += 1;
      const isMeasured = model === MODEL_INTERACTIVE && this.#simulation.nowMs >= MEASUREMENT_START_MS;
      this.#goodputCount += isMeasured ? 1 : 0;
    } else if (effect.kind === EffectKind.CallerProblem) {
      const { reason, retryAfterSeconds, verdict } = effect.problem;
      this.#withoutVerdictCount += Object.values(Verdict).includes(verdict) ? 0 : 1;
      figures.refusals[reason] = (figures.refusals[reason] ?? 0) + 1;
      this.#retry(model, key, tryNumber, reason, retryAfterSeconds);
    }
  }

  /** Retries after the Retry-After time with random jitter of plus or minus half. */
  #retry(
    model: string,
    key: string,
    tryNumber: number,
    reason: RefusalReason,
    retryAfterSeconds: number | undefined,
  ): void {
    if (tryNumber < CALLER_MAX_TRIES && reason !== RefusalReason.BudgetExhausted) {
      const waitMs = (retryAfterSeconds ?? 1) * MS_PER_SECOND * (0.5 + this.#simulation.random());
      this.#simulation.schedule(waitMs, () => {
        this.#sendRequest(model, key, tryNumber + 1);
      });
    }
  }
}

export function runOverload(options: OverloadOptions): OverloadFigures {
  return new OverloadBench(options).run();
}
