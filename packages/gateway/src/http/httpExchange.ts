import type { ServerResponse } from 'node:http';
import { Socket } from 'node:net';
import { Channel } from '@pimentostall/core';
import type { GatewayContext } from '../context.ts';
import type { CallerExchange, LocalReply, RequestEvent, RequestHead } from '../requests/ports.ts';
import { RequestEventKind } from '../requests/ports.ts';
import type { WireCodec } from './wireCodec.ts';

/** What an exchange asks of its connection. */
export interface ExchangeActions {
  /** Called once, before the head of the response is written. */
  readonly announceClose: () => boolean;
  /** Called when a part of the response may wait for its caller. */
  readonly watchResponse: () => void;
}

/** A caller's request and the response to it. */
export class HttpExchange implements CallerExchange {
  readonly events = new Channel<RequestEvent>();
  body: Buffer = Buffer.alloc(0);
  private gone = false;
  private finished = false;
  private isClosed = false;
  private onClosed: (() => void) | undefined;

  constructor(
    private readonly context: GatewayContext,
    private readonly codec: WireCodec,
    readonly head: RequestHead,
    private readonly response: ServerResponse,
    readonly arrivedAtMs: number,
    private readonly actions: ExchangeActions,
  ) {}

  isDisconnected(): boolean {
    return this.gone;
  }

  /** Handles the end of the exchange: the response has left the process, or the connection was closed before. */
  closed(): void {
    if (this.isClosed) {
      return;
    }
    this.isClosed = true;
    if (!this.finished) {
      this.gone = true;
      this.context.loop.push(this.events, { kind: RequestEventKind.CallerDisconnected });
    }
    this.onClosed?.();
  }

  /** Runs the callback once the response has left the process or can no longer be sent. */
  whenClosed(callback: () => void): void {
    if (this.isClosed) {
      callback();
    } else {
      this.onClosed = callback;
    }
  }

  start(status: number, headers: readonly string[]): void {
    this.writeHead(status, headers);
  }

  write(data: Buffer, onWritable: () => void): boolean {
    const writable = this.response.write(data);
    if (!writable) {
      this.response.once('drain', onWritable);
      this.actions.watchResponse();
    }
    return writable;
  }

  end(): void {
    this.finished = true;
    this.response.end();
    this.actions.watchResponse();
  }

  abort(): void {
    this.finished = true;
    const { socket, headersSent, chunkedEncoding } = this.response;
    if (headersSent && !chunkedEncoding && socket instanceof Socket) {
      // A caller of HTTP/1.0 takes an orderly close for the end of the response; only a reset shows that it broke off.
      socket.resetAndDestroy();
    }
    this.response.destroy();
  }

  sendLocalReply(reply: LocalReply): void {
    const encoded = this.codec.encodeLocalReply(reply);
    this.writeHead(encoded.status, encoded.headers);
    this.finished = true;
    this.response.end(encoded.body);
    this.actions.watchResponse();
  }

  private writeHead(status: number, headers: readonly string[]): void {
    const closing = this.actions.announceClose() ? ['Connection', 'close'] : [];
    this.response.writeHead(status, [...headers, ...closing]);
  }
}
