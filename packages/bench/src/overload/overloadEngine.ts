import type { CoreEvent, EngineLoad, UpstreamRequest } from '@pimentostall/core';
import { EventKind, UpstreamRequestKind } from '@pimentostall/core';
import { SimulatedEngine, LoadReporter, SequenceState, SubmitOutcome } from '@pimentostall/standins';
import { BREAK_FRACTION, FAILURE_DURATION_MS, MAX_RUNNING } from './options.ts';
import type { OverloadSimulation } from './overloadSimulation.ts';

const OBSERVE_INTERVAL_MS = 100;
const KEEP_MS = 5_000;
const STATUS_OK = 200;
const STATUS_CONFLICT = 409;
const STATUS_NOT_FOUND = 404;
const STATUS_TOO_MANY = 429;

type Send = (event: CoreEvent) => void;
type EngineRequest = Exclude<UpstreamRequest, { readonly kind: UpstreamRequestKind.ServiceCall }>;

interface Reader {
  readonly requestId: string;
  readonly send: Send;
  nextIndex: number;
}

/** A simulated engine behind the events of the core. While it fails, some new streams break without a token. */
export class OverloadEngine {
  readonly address: string;
  readonly #simulation: OverloadSimulation;
  readonly #model = new SimulatedEngine({
    maxRunning: MAX_RUNNING,
    unreadLimitMs: Infinity,
    keepMs: KEEP_MS,
  });
  readonly #reporter = new LoadReporter();
  /** By attempt. */
  readonly #readers = new Map<string, Reader>();
  #failsUntilMs = 0;
  #wakeAtMs = Infinity;

  constructor(address: string, simulation: OverloadSimulation) {
    this.address = address;
    this.#simulation = simulation;
    this.#observe();
  }

  fail(): void {
    this.#failsUntilMs = this.#simulation.nowMs + FAILURE_DURATION_MS;
  }

  report(): EngineLoad {
    return this.#reporter.report(this.#model.cacheEvents, false, this.#simulation.nowMs);
  }

  open(attemptId: string, request: EngineRequest, send: Send): void {
    const { nowMs } = this.#simulation;
    if (nowMs < this.#failsUntilMs && this.#simulation.random() < BREAK_FRACTION) {
      const detail = 'The connection broke before the first token.';
      send({ kind: EventKind.UpstreamFailed, attemptId, mayHaveReachedUpstream: true, detail });
      return;
    }
    const status = this.#statusOf(request);
    send({ kind: EventKind.UpstreamStarted, attemptId, status });
    if (status !== STATUS_OK) {
      send({ kind: EventKind.UpstreamEnded, attemptId, status, body: '', contentType: undefined });
      return;
    }
    const nextIndex = request.kind === UpstreamRequestKind.EngineResume ? request.fromIndex : 0;
    this.#readers.set(attemptId, { requestId: request.requestId, send, nextIndex });
    this.#relay();
    this.#wake();
  }

  cancel(attemptId: string, requestId: string, stopWork: boolean): void {
    const reader = this.#readers.get(attemptId);
    this.#readers.delete(attemptId);
    const usage = stopWork ? this.#model.cancel(requestId, this.#simulation.nowMs) : undefined;
    if (reader !== undefined && usage !== undefined) {
      const chunk = { index: reader.nextIndex, text: '', finish: { reason: 'cancelled', ...usage } };
      reader.send({ kind: EventKind.UpstreamChunk, attemptId, chunk });
    }
    this.#wake();
  }

  #statusOf(request: EngineRequest): number {
    switch (request.kind) {
      case UpstreamRequestKind.EngineResume:
        return this.#model.sequence(request.requestId) === undefined ? STATUS_NOT_FOUND : STATUS_OK;
      case UpstreamRequestKind.EngineStart:
        switch (this.#model.submit(request, this.#simulation.nowMs)) {
          case SubmitOutcome.Accepted:
            return STATUS_OK;
          case SubmitOutcome.AlreadyKnown:
            return STATUS_CONFLICT;
          case SubmitOutcome.QueueFull:
            return STATUS_TOO_MANY;
        }
    }
  }

  #relay(): void {
    for (const [attemptId, reader] of this.#readers) {
      const sequence = this.#model.sequence(reader.requestId);
      for (const chunk of sequence?.chunks.slice(reader.nextIndex) ?? []) {
        reader.nextIndex += 1;
        reader.send({ kind: EventKind.UpstreamChunk, attemptId, chunk });
      }
      if (sequence?.state === SequenceState.Finished) {
        this.#readers.delete(attemptId);
      }
    }
  }

  #wake(): void {
    const atMs = this.#model.nextEventMs() ?? Infinity;
    if (atMs === Infinity || atMs >= this.#wakeAtMs) {
      return;
    }
    this.#wakeAtMs = atMs;
    this.#simulation.queue.add(atMs, () => {
      if (this.#wakeAtMs === atMs) {
        this.#wakeAtMs = Infinity;
        this.#model.advance(atMs);
        this.#relay();
        this.#wake();
      }
    });
  }

  #observe(): void {
    this.#reporter.observe(this.#model, this.#simulation.nowMs);
    this.#simulation.schedule(OBSERVE_INTERVAL_MS, () => {
      this.#observe();
    });
  }
}
