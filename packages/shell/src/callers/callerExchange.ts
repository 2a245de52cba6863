import type { ServerResponse } from 'node:http';
import type { Problem } from '@pimentostall/core';
import { problemBody, problemHeaders } from '../http/problems.ts';
import type { ShellOptions } from '../options.ts';

type FlowLimits = Pick<ShellOptions, 'stallTimeoutMs' | 'maxUnsentBytes'>;

/** Writes the response to one caller and disconnects a caller that reads too slowly. */
export class CallerExchange {
  private drainWaiters: (() => void)[] = [];
  private stallTimer: NodeJS.Timeout | undefined;
  private isEventStream = false;
  private bodyStarted = false;

  constructor(
    private readonly response: ServerResponse,
    private readonly limits: FlowLimits,
  ) {
    response.on('drain', () => {
      this.resolveDrainWaiters();
    });
    response.on('close', () => {
      this.resolveDrainWaiters();
    });
    response.on('error', () => {
      response.destroy();
    });
  }

  start(status: number, headers: Readonly<Record<string, string>>): void {
    const types = Object.entries(headers).filter(([name]) => name.toLowerCase() === 'content-type');
    this.isEventStream = types.some(([, type]) => type.startsWith('text/event-stream'));
    this.response.writeHead(status, headers);
    // The core emits a chunk or the end in the same step; flushing right away would cost a separate write for
    // the headers.
    setImmediate(() => {
      if (!this.bodyStarted && !this.response.destroyed) {
        this.response.flushHeaders();
      }
    });
  }

  write(data: string): void {
    this.bodyStarted = true;
    if (!this.response.write(data)) {
      this.startStallTimer();
    }
    if (this.response.writableLength > this.limits.maxUnsentBytes) {
      this.response.destroy();
    }
  }

  end(data: string): void {
    this.bodyStarted = true;
    this.response.end(data);
    if (this.response.writableNeedDrain) {
      this.startStallTimer();
    }
  }

  /**
   * Sends the problem as the response or, once the headers are sent, as the error event that ends the stream.
   */
  endWithProblem(problem: Problem): void {
    this.bodyStarted = true;
    if (!this.response.headersSent) {
      this.response.writeHead(problem.status, problemHeaders(problem));
      this.response.end(problemBody(problem));
      return;
    }
    if (this.isEventStream) {
      this.response.end(`event: error\ndata: ${problemBody(problem)}\n\n`);
      return;
    }
    // Closing the connection is the only way to mark a response of another content type as incomplete.
    this.response.destroy();
  }

  destroy(): void {
    this.response.destroy();
  }

  /**
   * Resolves at once unless the socket's write buffer is full; otherwise when it drains or the socket closes.
   */
  waitUntilWritable(): Promise<void> {
    if (!this.response.writableNeedDrain || this.response.destroyed) {
      return Promise.resolve();
    }
    return new Promise((resolve) => this.drainWaiters.push(resolve));
  }

  private startStallTimer(): void {
    this.stallTimer ??= setTimeout(() => {
      this.response.destroy();
    }, this.limits.stallTimeoutMs);
  }

  private resolveDrainWaiters(): void {
    clearTimeout(this.stallTimer);
    this.stallTimer = undefined;
    const waiters = this.drainWaiters;
    this.drainWaiters = [];
    for (const release of waiters) {
      release();
    }
  }
}
