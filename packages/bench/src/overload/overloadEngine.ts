import type { CoreEvent, EngineLoad, UpstreamRequest } from '@pimentostall/core';
import { EventKind, UpstreamRequestKind } from '@pimentostall/core';
import { SimulatedEngine, LoadReporter, SequenceState, SubmitOutcome } from '@pimentostall/standins';
import { BROKEN_STREAM_FRACTION, FAILURE_DURATION_MS, MAX_RUNNING } from './options.ts';
import type { OverloadSimulation } from './overloadSimulation.ts';

const OBSERVE_INTERVAL_MS = 100;
const FINISHED_SEQUENCE_KEEP_MS = 5_000;
const STATUS_OK = 200;
const STATUS_CONFLICT = 409;
const STATUS_NOT_FOUND = 404;
const STATUS_TOO_MANY_REQUESTS = 429;

type SendEvent = (event: CoreEvent) => void;
type EngineRequest = Exclude<UpstreamRequest, { readonly kind: UpstreamRequestKind.ServiceCall }>;

interface StreamReader {
  readonly requestId: string;
  readonly send: SendEvent;
  nextIndex: number;
}

/** Connects a simulated engine to the core's events. During a failure, some new streams break without a token. */
export class OverloadEngine {
  readonly address: string;
  readonly #simulation: OverloadSimulation;
  readonly #simulatedEngine = new SimulatedEngine({
    maxRunning: MAX_RUNNING,
    unreadLimitMs: Infinity,
    keepMs: FINISHED_SEQUENCE_KEEP_MS,
  });
  readonly #reporter = new LoadReporter();
  readonly #readersByAttemptId = new Map<string, StreamReader>();
  #failingUntilMs = 0;
  #nextEventAtMs = Infinity;

  constructor(address: string, simulation: OverloadSimulation) {
    this.address = address;
    this.#simulation = simulation;
    this.#observeLoad();
  }

  fail(): void {
    this.#failingUntilMs = this.#simulation.nowMs + FAILURE_DURATION_MS;
  }

  report(): EngineLoad {
    return this.#reporter.report(this.#simulatedEngine.cacheEvents, false, this.#simulation.nowMs);
  }

  open(attemptId: string, request: EngineRequest, send: SendEvent): void {
    const { nowMs } = this.#simulation;
    if (nowMs < this.#failingUntilMs && this.#simulation.random() < BROKEN_STREAM_FRACTION) {
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
    this.#readersByAttemptId.set(attemptId, { requestId: request.requestId, send, nextIndex });
    this.#sendNewChunks();
    this.#scheduleNextEvent();
  }

  cancel(attemptId: string, requestId: string, stopWork: boolean): void {
    const reader = this.#readersByAttemptId.get(attemptId);
    this.#readersByAttemptId.delete(attemptId);
    const usage = stopWork ? this.#simulatedEngine.cancel(requestId, this.#simulation.nowMs) : undefined;
    if (reader !== undefined && usage !== undefined) {
      const chunk = { index: reader.nextIndex, text: '', finish: { reason: 'cancelled', ...usage } };
      reader.send({ kind: EventKind.UpstreamChunk, attemptId, chunk });
    }
    this.#scheduleNextEvent();
  }

  #statusOf(request: EngineRequest): number {
    switch (request.kind) {
      case UpstreamRequestKind.EngineResume:
        return this.#simulatedEngine.sequence(request.requestId) === undefined ? STATUS_NOT_FOUND : STATUS_OK;
      case UpstreamRequestKind.EngineStart:
        switch (this.#simulatedEngine.submit(request, this.#simulation.nowMs)) {
          case SubmitOutcome.Accepted:
            return STATUS_OK;
          case SubmitOutcome.AlreadyKnown:
            return STATUS_CONFLICT;
          case SubmitOutcome.QueueFull:
            return STATUS_TOO_MANY_REQUESTS;
        }
    }
  }

  #sendNewChunks(): void {
    for (const [attemptId, reader] of this.#readersByAttemptId) {
      const sequence = this.#simulatedEngine.sequence(reader.requestId);
      for (const chunk of sequence?.chunks.slice(reader.nextIndex) ?? []) {
        reader.nextIndex += 1;
        reader.send({ kind: EventKind.UpstreamChunk, attemptId, chunk });
      }
      if (sequence?.state === SequenceState.Finished) {
        this.#readersByAttemptId.delete(attemptId);
      }
    }
  }

  #scheduleNextEvent(): void {
    const atMs = this.#simulatedEngine.nextEventMs() ?? Infinity;
    if (atMs === Infinity || atMs >= this.#nextEventAtMs) {
      return;
    }
    this.#nextEventAtMs = atMs;
    this.#simulation.queue.add(atMs, () => {
      if (this.#nextEventAtMs === atMs) {
        this.#nextEventAtMs = Infinity;
        this.#simulatedEngine.advance(atMs);
        this.#sendNewChunks();
        this.#scheduleNextEvent();
      }
    });
  }

  #observeLoad(): void {
    this.#reporter.observe(this.#simulatedEngine, this.#simulation.nowMs);
    this.#simulation.schedule(OBSERVE_INTERVAL_MS, () => {
      this.#observeLoad();
    });
  }
}
