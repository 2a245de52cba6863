import type { Effect, EffectKind, ClockReading } from '@pimentostall/core';
import { EngineOrderOutcome, EventKind } from '@pimentostall/core';
import { Agent } from 'undici';
import type { AddressResolver } from '../addresses.ts';
import { wasPaused } from '../clock.ts';
import { readResponseBody } from '../http/readResponseBody.ts';
import type { ShellOptions } from '../options.ts';
import type { EventSink } from '../routerLoop.ts';
import { parseCancelledFinish, parseEngineLoad, parseEngineModels } from './parseEngineResponses.ts';
import { UpstreamAttempt } from './upstreamAttempt.ts';
import { streamPath } from './upstreamHttpRequest.ts';

type EffectOf<K extends EffectKind> = Extract<Effect, { readonly kind: K }>;

export interface UpstreamAdapterSetup {
  readonly sink: EventSink;
  readonly options: ShellOptions;
  readonly readClock: () => ClockReading;
  readonly pauseLimitMs: number;
  readonly resolveAddress: AddressResolver;
  readonly waitForCaller: (exchangeId: string) => Promise<void>;
}

const STATUS_OK = 200;
const STATUS_CONFLICT = 409;

function orderOutcome(status: number | undefined): EngineOrderOutcome {
  switch (status) {
    case STATUS_OK:
      return EngineOrderOutcome.Accepted;
    case STATUS_CONFLICT:
      return EngineOrderOutcome.Fenced;
    default:
      return EngineOrderOutcome.Unknown;
  }
}

/** Sends requests to engines and plain services, and submits the results as events. */
export class UpstreamAdapter {
  private readonly attempts = new Map<string, UpstreamAttempt>();
  private readonly agent: Agent;

  constructor(private readonly setup: UpstreamAdapterSetup) {
    this.agent = new Agent({ connect: { timeout: setup.options.connectTimeoutMs }, pipelining: 1 });
  }

  open(effect: EffectOf<EffectKind.UpstreamOpen>, steppedAt: ClockReading): void {
    const { sink, options, readClock, pauseLimitMs, waitForCaller } = this.setup;
    const { attemptId, exchangeId } = effect;
    const attempt = new UpstreamAttempt({
      attemptId,
      origin: this.origin(effect.address),
      request: effect.request,
      dispatcher: this.agent,
      sink,
      options,
      mayWrite: () => !wasPaused(steppedAt, readClock(), pauseLimitMs),
      waitForCaller: () => (exchangeId === undefined ? Promise.resolve() : waitForCaller(exchangeId)),
    });
    this.attempts.set(attemptId, attempt);
    const remainingMs = Math.max(0, effect.deadlineMs - readClock().monotonicMs);
    const deadline = setTimeout(() => {
      attempt.abort('The deadline of the request passed.', false);
    }, remainingMs);
    void attempt.run().finally(() => {
      clearTimeout(deadline);
      this.attempts.delete(attemptId);
    });
  }

  cancel(effect: EffectOf<EffectKind.UpstreamCancel>): void {
    const attempt = this.attempts.get(effect.attemptId);
    attempt?.abort('The attempt was cancelled.', effect.stopExecution);
    if (effect.stopExecution) {
      void this.stopExecution(effect, attempt?.nextIndex ?? 0);
    }
  }

  probe(effect: EffectOf<EffectKind.UpstreamProbe>): void {
    const { callId, address } = effect;
    void this.fetchBody(address, 'GET', '/load').then((response) => {
      const load = response === undefined ? undefined : parseEngineLoad(response);
      this.setup.sink.submit({ kind: EventKind.UpstreamProbed, callId, address, load });
    });
  }

  /**
   * An order is not sent if the process was paused since its step: another router may hold the lease by now.
   */
  order(effect: EffectOf<EffectKind.EngineOrder>, steppedAt: ClockReading): void {
    const { callId, address, order } = effect;
    const { sink, readClock, pauseLimitMs } = this.setup;
    if (wasPaused(steppedAt, readClock(), pauseLimitMs)) {
      sink.submit({ kind: EventKind.EngineOrdered, callId, outcome: EngineOrderOutcome.Unknown });
      return;
    }
    void this.sendRequest(address, 'POST', '/orders', JSON.stringify(order)).then((response) => {
      sink.submit({ kind: EventKind.EngineOrdered, callId, outcome: orderOutcome(response?.status) });
    });
  }

  readModels(effect: EffectOf<EffectKind.EngineModelsRead>): void {
    const { callId, address } = effect;
    void this.fetchBody(address, 'GET', '/orders').then((response) => {
      const models = response === undefined ? undefined : parseEngineModels(response);
      this.setup.sink.submit({ kind: EventKind.EngineModels, callId, models });
    });
  }

  async close(): Promise<void> {
    await this.agent.destroy();
  }

  /**
   * Cancels the stream at the engine and reports its token counts as a last chunk without text, so that the
   * core can bill them.
   */
  private async stopExecution(effect: EffectOf<EffectKind.UpstreamCancel>, index: number): Promise<void> {
    const { attemptId, address, requestId } = effect;
    const response = await this.fetchBody(address, 'DELETE', streamPath(requestId));
    const finish = response === undefined ? undefined : parseCancelledFinish(response);
    const { sink } = this.setup;
    if (finish === undefined) {
      const detail = 'The engine did not confirm the cancellation.';
      sink.submit({ kind: EventKind.UpstreamFailed, attemptId, mayHaveReachedUpstream: true, detail });
      return;
    }
    sink.submit({ kind: EventKind.UpstreamChunk, attemptId, chunk: { index, text: '', finish } });
    const ended = { status: 200, body: '', contentType: undefined };
    sink.submit({ kind: EventKind.UpstreamEnded, attemptId, ...ended });
  }

  /** The body of a 200 response within the probe timeout; undefined otherwise. */
  private async fetchBody(
    address: string,
    method: 'GET' | 'DELETE',
    path: string,
  ): Promise<string | undefined> {
    const response = await this.sendRequest(address, method, path);
    return response?.status === STATUS_OK ? response.body : undefined;
  }

  /** The response within the probe timeout, whatever its status; undefined if there was none. */
  private async sendRequest(
    address: string,
    method: 'GET' | 'DELETE' | 'POST',
    path: string,
    body?: string,
  ): Promise<{ readonly status: number; readonly body: string | undefined } | undefined> {
    const { probeTimeoutMs, maxAnswerBytes } = this.setup.options;
    const headers = body === undefined ? {} : { 'content-type': 'application/json' };
    const origin = this.origin(address);
    try {
      const signal = AbortSignal.timeout(probeTimeoutMs);
      const response = await this.agent.request({ origin, method, path, signal, headers, body });
      return { status: response.statusCode, body: await readResponseBody(response.body, maxAnswerBytes) };
    } catch {
      return undefined;
    }
  }

  private origin(address: string): string {
    return `http://${this.setup.resolveAddress(address)}`;
  }
}
