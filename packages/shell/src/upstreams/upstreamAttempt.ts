import type { AttemptEvent, UpstreamRequest } from '@pimentostall/core';
import { EventKind, UpstreamRequestKind } from '@pimentostall/core';
import type { Dispatcher } from 'undici';
import { readResponseBody } from '../http/readResponseBody.ts';
import type { ShellOptions } from '../options.ts';
import type { EventSink } from '../routerLoop.ts';
import { parseEngineChunk } from './parseEngineResponses.ts';
import type { SseEvent } from './sseParser.ts';
import { SseParser } from './sseParser.ts';
import { toHttpRequest } from './upstreamHttpRequest.ts';
import { WriteGuard } from './writeGuard.ts';

export interface AttemptSetup {
  readonly attemptId: string;
  readonly origin: string;
  readonly request: UpstreamRequest;
  readonly dispatcher: Dispatcher;
  readonly sink: EventSink;
  readonly options: ShellOptions;
  readonly mayWrite: () => boolean;
  /** Resolves when the caller's socket accepts more data. */
  readonly waitForCaller: () => Promise<void>;
}

/** The connection is closed if the engine does not end its response within this time after the last chunk. */
const BODY_END_TIMEOUT_MS = 1_000;

function errorMessage(cause: unknown): string {
  return cause instanceof Error ? cause.message : String(cause);
}

/** One request to an upstream. Its start, chunks and its end or failure are reported as events. */
export class UpstreamAttempt {
  /** Index of the chunk that follows the last one read. */
  nextIndex = 0;
  private readonly controller = new AbortController();
  private readonly guard: WriteGuard;
  private reportingStopped = false;
  private ended = false;
  private bodyEndTimer: NodeJS.Timeout | undefined;

  constructor(private readonly setup: AttemptSetup) {
    this.guard = new WriteGuard(setup.mayWrite);
  }

  async run(): Promise<void> {
    try {
      await this.performRequest();
    } catch (cause) {
      const mayHaveReachedUpstream = this.guard.mayHaveReachedUpstream(cause, this.controller.signal);
      this.reportFailure(mayHaveReachedUpstream, errorMessage(cause));
    } finally {
      clearTimeout(this.bodyEndTimer);
    }
  }

  /** Aborts the attempt, which then either reports a failure with this detail or reports nothing more. */
  abort(detail: string, stopReporting: boolean): void {
    this.reportingStopped = stopReporting;
    this.controller.abort(new Error(detail));
  }

  private async performRequest(): Promise<void> {
    const { origin, request, dispatcher, options, attemptId } = this.setup;
    const response = await dispatcher.compose(this.guard.intercept).request({
      origin,
      ...toHttpRequest(request),
      method: toHttpRequest(request).method,
      signal: this.controller.signal,
      // The request's deadline covers both timeouts.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    const status = response.statusCode;
    this.report({ kind: EventKind.UpstreamStarted, attemptId, status });
    if (request.kind !== UpstreamRequestKind.ServiceCall && status === 200) {
      await this.relayStream(response.body);
      return;
    }
    const body = await readResponseBody(response.body, options.maxAnswerBytes);
    const type = response.headers['content-type'];
    const contentType = Array.isArray(type) ? type[0] : type;
    const isService = request.kind === UpstreamRequestKind.ServiceCall;
    this.end(status, isService ? body : '', isService ? contentType : undefined);
  }

  private async relayStream(body: AsyncIterable<Buffer>): Promise<void> {
    const parser = new SseParser(this.setup.options.maxStreamEventBytes);
    for await (const part of body) {
      if (this.ended) {
        continue;
      }
      if (this.handleStreamEvents(parser.push(part))) {
        this.startBodyEndTimer();
        continue;
      }
      await this.setup.sink.waitForStep();
      await this.waitForCallerOrAbort();
    }
    if (!this.ended) {
      throw new Error('The stream ended before its last chunk.');
    }
  }

  /** Returns true if the last chunk was among the events. */
  private handleStreamEvents(events: readonly SseEvent[]): boolean {
    for (const { event, data } of events) {
      if (this.handleStreamEvent(event, data)) {
        this.end(200, '', undefined);
        this.ended = true;
        return true;
      }
    }
    return false;
  }

  /**
   * Limits the wait for the end of the body. The rest is read, because leaving it unread would close the
   * connection and the next stream would have to open a new one.
   */
  private startBodyEndTimer(): void {
    this.reportingStopped = true;
    this.bodyEndTimer = setTimeout(() => {
      this.controller.abort();
    }, BODY_END_TIMEOUT_MS);
  }

  /** Returns true for the last chunk. */
  private handleStreamEvent(event: string, data: string): boolean {
    if (event === 'error') {
      throw new Error('The engine ended the stream with an error event.');
    }
    const chunk = parseEngineChunk(data);
    if (chunk === undefined) {
      throw new Error('The engine sent a malformed chunk.');
    }
    this.nextIndex = chunk.index + 1;
    this.report({ kind: EventKind.UpstreamChunk, attemptId: this.setup.attemptId, chunk });
    return chunk.finish !== undefined;
  }

  private async waitForCallerOrAbort(): Promise<void> {
    const { signal } = this.controller;
    let onAbort = (): void => undefined;
    const aborted = new Promise<void>((resolve) => {
      onAbort = resolve;
      signal.addEventListener('abort', onAbort, { once: true });
    });
    await Promise.race([this.setup.waitForCaller(), aborted]);
    signal.removeEventListener('abort', onAbort);
    signal.throwIfAborted();
  }

  private end(status: number, body: string, contentType: string | undefined): void {
    const { attemptId } = this.setup;
    this.report({ kind: EventKind.UpstreamEnded, attemptId, status, body, contentType });
  }

  private reportFailure(mayHaveReachedUpstream: boolean, detail: string): void {
    this.report({
      kind: EventKind.UpstreamFailed,
      attemptId: this.setup.attemptId,
      mayHaveReachedUpstream,
      detail,
    });
  }

  private report(event: AttemptEvent): void {
    if (!this.reportingStopped) {
      this.setup.sink.submit(event);
    }
  }
}
