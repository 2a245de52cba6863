import type { ServerResponse } from 'node:http';
import type { Problem } from '@pimentostall/core';
import { problemBody, problemHeaders } from '../http/problems.ts';
import type { ShellOptions } from '../options.ts';

type FlowLimits = Pick<ShellOptions, 'stallTimeoutMs' | 'maxUnsentBytes'>;

/** One caller's answer under way. */
export class CallerExchange {
  private drainWaiters: (() => void)[] = [];
  private stallTimer: NodeJS.Timeout | undefined;
  private isEventStream = false;
  private hasBody = false;

  constructor(
    private readonly response: ServerResponse,
    private readonly limits: FlowLimits,
  ) {
    response.on('drain', () => {
      this.releaseWaiters();
    });
    response.on('close', () => {
      this.releaseWaiters();
    });
    response.on('error', () => {
      response.destroy();
    });
  }

  start(status: number, headers: Readonly<Record<string, string>>): void {
    const types = Object.entries(headers).filter(([name]) => name.toLowerCase() === 'content-type');
    this.isEventStream = types.some(([, type]) => type.startsWith('text/event-stream'));
    this.response.writeHead(status, headers);
    // The core sends a chunk or the end in the same step; sent apart, the headers would take a write of their own.
    setImmediate(() => {
      if (!this.hasBody && !this.response.destroyed) {
        this.response.flushHeaders();
      }
    });
  }

  write(data: string): void {
    this.hasBody = true;
    if (!this.response.write(data)) {
      this.watchStall();
    }
    if (this.response.writableLength > this.limits.maxUnsentBytes) {
      this.response.destroy();
    }
  }

  end(data: string): void {
    this.hasBody = true;
    this.response.end(data);
    if (this.response.writableNeedDrain) {
      this.watchStall();
    }
  }

  /** Before the start, the problem is the answer; after it, the stream ends with an error event. */
  endWithProblem(problem: Problem): void {
    this.hasBody = true;
    if (!this.response.headersSent) {
      this.response.writeHead(problem.status, problemHeaders(problem));
      this.response.end(problemBody(problem));
      return;
    }
    if (this.isEventStream) {
      this.response.end(`event: error\ndata: ${problemBody(problem)}\n\n`);
      return;
    }
    // A cut connection is the only way to mark an answer of another type as incomplete.
    this.response.destroy();
  }

  destroy(): void {
    this.response.destroy();
  }

  /** Resolves at once unless the socket is full; then when it drains or closes. */
  writable(): Promise<void> {
    if (!this.response.writableNeedDrain || this.response.destroyed) {
      return Promise.resolve();
    }
    return new Promise((resolve) => this.drainWaiters.push(resolve));
  }

  private watchStall(): void {
    this.stallTimer ??= setTimeout(() => {
      this.response.destroy();
    }, this.limits.stallTimeoutMs);
  }

  private releaseWaiters(): void {
    clearTimeout(this.stallTimer);
    this.stallTimer = undefined;
    const waiters = this.drainWaiters;
    this.drainWaiters = [];
    for (const release of waiters) {
      release();
    }
  }
}
