import type { AttemptEvent, UpstreamRequest } from '@pimentostall/core';
import { EventKind, UpstreamRequestKind } from '@pimentostall/core';
import type { Dispatcher } from 'undici';
import { readAnswer } from '../http/readAnswer.ts';
import type { ShellOptions } from '../options.ts';
import type { EventSink } from '../routerLoop.ts';
import { parseEngineChunk } from './parseEngine.ts';
import type { SseEvent } from './sseParser.ts';
import { SseParser } from './sseParser.ts';
import { toUpstreamCall } from './upstreamCall.ts';
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
  readonly callerWritable: () => Promise<void>;
}

/** The connection is closed if the engine does not end its response within this time after the last chunk. */
const END_OF_BODY_WAIT_MS = 1_000;

function messageOf(cause: unknown): string {
  return cause instanceof Error ? cause.message : String(cause);
}

/** One request to an upstream. Its start, chunks and its end or failure are reported as events. */
export class UpstreamAttempt {
  /** Index of the chunk that follows the last one read. */
  nextIndex = 0;
  private readonly controller = new AbortController();
  private readonly guard: WriteGuard;
  private silent = false;
  private ended = false;
  private endTimer: NodeJS.Timeout | undefined;

  constructor(private readonly setup: AttemptSetup) {
    this.guard = new WriteGuard(setup.mayWrite);
  }

  async run(): Promise<void> {
    try {
      await this.exchange();
    } catch (cause) {
      const mayHaveReachedUpstream = this.guard.mayHaveReachedUpstream(cause, this.controller.signal);
      this.fail(mayHaveReachedUpstream, messageOf(cause));
    } finally {
      clearTimeout(this.endTimer);
    }
  }

  /** Aborts the attempt, which then either reports a failure with this detail or reports nothing more. */
  abort(detail: string, silent: boolean): void {
    this.silent = silent;
    this.controller.abort(new Error(detail));
  }

  private async exchange(): Promise<void> {
    const { origin, request, dispatcher, options, attemptId } = this.setup;
    const response = await dispatcher.compose(this.guard.intercept).request({
      origin,
      ...toUpstreamCall(request),
      method: toUpstreamCall(request).method,
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
    const body = await readAnswer(response.body, options.maxAnswerBytes);
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
      if (this.takeStreamEvents(parser.push(part))) {
        this.awaitEndOfBody();
        continue;
      }
      await this.setup.sink.stepped();
      await this.untilCallerWritable();
    }
    if (!this.ended) {
      throw new Error('The stream ended before its last chunk.');
    }
  }

  /** Returns true if the last chunk was among the events. */
  private takeStreamEvents(events: readonly SseEvent[]): boolean {
    for (const { event, data } of events) {
      if (this.takeStreamEvent(event, data)) {
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
  private awaitEndOfBody(): void {
    this.silent = true;
    this.endTimer = setTimeout(() => {
      this.controller.abort();
    }, END_OF_BODY_WAIT_MS);
  }

  /** Returns true for the last chunk. */
  private takeStreamEvent(event: string, data: string): boolean {
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

  private async untilCallerWritable(): Promise<void> {
    const { signal } = this.controller;
    let stop = (): void => undefined;
    const aborted = new Promise<void>((resolve) => {
      stop = resolve;
      signal.addEventListener('abort', stop, { once: true });
    });
    await Promise.race([this.setup.callerWritable(), aborted]);
    signal.removeEventListener('abort', stop);
    signal.throwIfAborted();
  }

  private end(status: number, body: string, contentType: string | undefined): void {
    const { attemptId } = this.setup;
    this.report({ kind: EventKind.UpstreamEnded, attemptId, status, body, contentType });
  }

  private fail(mayHaveReachedUpstream: boolean, detail: string): void {
    this.report({
      kind: EventKind.UpstreamFailed,
      attemptId: this.setup.attemptId,
      mayHaveReachedUpstream,
      detail,
    });
  }

  private report(event: AttemptEvent): void {
    if (!this.silent) {
      this.setup.sink.submit(event);
    }
  }
}
