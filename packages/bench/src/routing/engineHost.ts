import type { EngineLoad } from '@pimentostall/core';
import { SimulatedEngine, LoadReporter, SequenceState, SubmitOutcome } from '@pimentostall/standins';
import { ENGINE_OPTIONS, SLOW_ENGINE_FACTOR } from './options.ts';
import type { Scenario } from './types.ts';
import type { Arrival } from './workload.ts';
import { MODEL } from './workload.ts';

/** Receives the events of a request's token stream on behalf of its router. */
export interface StreamListener {
  readonly arrival: Arrival;
  onToken(atMs: number): void;
  onFinished(cachedPromptTokens: number, promptTokens: number): void;
}

export enum SubmitResponse {
  Accepted = 'accepted',
  QueueFull = 'queueFull',
  /** The connection is refused, or the engine reports that it is leaving. */
  Gone = 'gone',
}

interface OpenStream {
  readonly listener: StreamListener;
  tokenCount: number;
}

/** Hosts a simulated engine with its load reports and the open streams of its routers. */
export class EngineHost {
  readonly address: string;
  readonly #engine = new SimulatedEngine(ENGINE_OPTIONS);
  readonly #maxOutputTokens: number;
  readonly #reporter: LoadReporter;
  readonly #streams = new Map<string, OpenStream>();
  #leaving = false;
  #crashed = false;

  constructor(index: number, scenario: Scenario) {
    this.address = `127.1.${index >> 8}.${index & 255}:8400`;
    this.#maxOutputTokens = scenario.maxOutputTokens;
    const { cacheEventLagMs, cacheEventGap } = scenario;
    this.#reporter = new LoadReporter({ cacheEventLagMs, cacheEventGap });
  }

  get openStreamCount(): number {
    return this.#streams.size;
  }

  get acceptsRequests(): boolean {
    return !this.#crashed && !this.#leaving;
  }

  nextEventMs(): number {
    return this.#crashed ? Infinity : (this.#engine.nextEventMs() ?? Infinity);
  }

  submit(listener: StreamListener, nowMs: number): SubmitResponse {
    if (!this.acceptsRequests) {
      return SubmitResponse.Gone;
    }
    const { requestId, messages } = listener.arrival;
    const request = {
      requestId,
      model: MODEL,
      messages,
      maxOutputTokens: this.#maxOutputTokens,
      priority: 0,
    };
    if (this.#engine.submit(request, nowMs) !== SubmitOutcome.Accepted) {
      return SubmitResponse.QueueFull;
    }
    this.#streams.set(requestId, { listener, tokenCount: 0 });
    return SubmitResponse.Accepted;
  }

  /** Generates the tokens that are due and notifies the listeners of their streams. */
  advance(nowMs: number): void {
    if (this.#crashed) {
      return;
    }
    this.#engine.advance(nowMs);
    for (const [requestId, stream] of this.#streams) {
      const sequence = this.#engine.sequence(requestId);
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
    this.#reporter.observe(this.#engine, nowMs);
  }

  /** Returns undefined if the engine is unreachable. */
  report(nowMs: number): EngineLoad | undefined {
    return this.#crashed ? undefined : this.#reporter.report(this.#engine.cacheEvents, this.#leaving, nowMs);
  }

  slowDown(): void {
    this.#engine.setTokenInterval(ENGINE_OPTIONS.tokenIntervalMs * SLOW_ENGINE_FACTOR);
  }

  leave(): void {
    this.#leaving = true;
  }

  /** Stops the engine and returns the streams that it breaks. */
  crash(): { readonly listener: StreamListener; readonly tokenCount: number }[] {
    this.#crashed = true;
    const streams = [...this.#streams.values()];
    this.#streams.clear();
    return streams;
  }
}
