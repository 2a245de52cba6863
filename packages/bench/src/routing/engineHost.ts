import type { EngineLoad } from '@pimentostall/core';
import { SimulatedEngine, LoadReporter, SequenceState, SubmitOutcome } from '@pimentostall/standins';
import { ENGINE_OPTIONS, SLOW_FACTOR } from './options.ts';
import type { Scenario } from './types.ts';
import type { Arrival } from './workload.ts';
import { MODEL } from './workload.ts';

/** What a request's router hears of its stream. */
export interface StreamListener {
  readonly arrival: Arrival;
  onToken(atMs: number): void;
  onFinished(cachedPromptTokens: number, promptTokens: number): void;
}

export enum HostAnswer {
  Accepted = 'accepted',
  QueueFull = 'queueFull',
  /** Connection refused, or the engine states that it leaves. */
  Gone = 'gone',
}

interface OpenStream {
  readonly listener: StreamListener;
  tokenCount: number;
}

/** A simulated engine with its load reports and the streams that routers read. */
export class EngineHost {
  readonly address: string;
  readonly #model = new SimulatedEngine(ENGINE_OPTIONS);
  readonly #maxOutputTokens: number;
  readonly #reporter: LoadReporter;
  readonly #streams = new Map<string, OpenStream>();
  #leaving = false;
  #dead = false;

  constructor(index: number, scenario: Scenario) {
    this.address = `127.1.${index >> 8}.${index & 255}:8400`;
    this.#maxOutputTokens = scenario.maxOutputTokens;
    const { cacheEventLagMs, cacheEventGap } = scenario;
    this.#reporter = new LoadReporter({ cacheEventLagMs, cacheEventGap });
  }

  get openCount(): number {
    return this.#streams.size;
  }

  get usable(): boolean {
    return !this.#dead && !this.#leaving;
  }

  nextEventMs(): number {
    return this.#dead ? Infinity : (this.#model.nextEventMs() ?? Infinity);
  }

  submit(listener: StreamListener, nowMs: number): HostAnswer {
    if (!this.usable) {
      return HostAnswer.Gone;
    }
    const { requestId, messages } = listener.arrival;
    const request = {
      requestId,
      model: MODEL,
      messages,
      maxOutputTokens: this.#maxOutputTokens,
      priority: 0,
    };
    if (this.#model.submit(request, nowMs) !== SubmitOutcome.Accepted) {
      return HostAnswer.QueueFull;
    }
    this.#streams.set(requestId, { listener, tokenCount: 0 });
    return HostAnswer.Accepted;
  }

  /** Generates the tokens that are due and tells their routers. */
  advance(nowMs: number): void {
    if (this.#dead) {
      return;
    }
    this.#model.advance(nowMs);
    for (const [requestId, stream] of this.#streams) {
      const sequence = this.#model.sequence(requestId);
      if (sequence === undefined || sequence.chunks.length === stream.tokenCount) {
        continue;
      }
      stream.tokenCount = sequence.chunks.length;
      stream.listener.onToken(nowMs);
      if (sequence.state === SequenceState.Finished) {
        this.#streams.delete(requestId);
        stream.listener.onFinished(sequence.cachedPromptTokens, sequence.blocks.tokens);
      }
    }
  }

  observe(nowMs: number): void {
    this.#reporter.observe(this.#model, nowMs);
  }

  /** undefined if the engine cannot be reached. */
  report(nowMs: number): EngineLoad | undefined {
    return this.#dead ? undefined : this.#reporter.report(this.#model.cacheEvents, this.#leaving, nowMs);
  }

  slowDown(): void {
    this.#model.setTokenInterval(ENGINE_OPTIONS.tokenIntervalMs * SLOW_FACTOR);
  }

  leave(): void {
    this.#leaving = true;
  }

  /** Ends the engine and returns the streams that it held. */
  die(): { readonly listener: StreamListener; readonly tokenCount: number }[] {
    this.#dead = true;
    const streams = [...this.#streams.values()];
    this.#streams.clear();
    return streams;
  }
}
