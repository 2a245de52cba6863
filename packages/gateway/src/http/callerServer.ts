import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import { Channel } from '@pimentostall/core';
import type { GatewayContext } from '../context.ts';
import type { CallerExchange, LocalReply, RequestEvent, RequestHead } from '../requests/ports.ts';
import { RequestEventKind } from '../requests/ports.ts';
import { serveRequest } from '../requests/serveRequest.ts';
import type { IngressLimits } from '../types.ts';
import type { WireCodec } from './wireCodec.ts';

/** Limits until a configuration states them. */
const INITIAL_LIMITS: IngressLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};
/** How often Node looks for connections whose header is late. */
const CONNECTION_CHECK_MS = 1_000;
/** Kept beyond the stated idle time, so that a request that a caller sends at its end is still read. */
const IDLE_MARGIN_MS = 1_000;
/** Longest header section that Node parses; the limit in force is checked on each request. */
const PARSER_HEADER_BYTES = 65_536;

/**
 * Turns of the event loop until a close that waited behind a request has been reported: the first ends the turn that
 * read the request, the second reads the close, and the report comes before the third.
 */
const DISPATCH_TURNS = 3;

/** Accepts callers' requests, reads them whole and hands each to a task of its own. */
export class CallerServer {
  readonly server: Server;

  constructor(
    private readonly context: GatewayContext,
    private readonly codec: WireCodec,
  ) {
    this.server = createServer(
      {
        keepAliveTimeout: INITIAL_LIMITS.idleTimeoutMs + IDLE_MARGIN_MS,
        maxHeaderSize: PARSER_HEADER_BYTES,
        connectionsCheckingInterval: CONNECTION_CHECK_MS,
        // The body has no time limit of its own; the request's deadline bounds it.
        requestTimeout: 0,
        requireHostHeader: false,
      },
      (request, response) => {
        this.accept(request, response);
      },
    );
    this.server.headersTimeout = INITIAL_LIMITS.headerTimeoutMs;
    this.server.on('clientError', (cause: NodeJS.ErrnoException, socket) => {
      const status =
        cause.code === 'HPE_HEADER_OVERFLOW' ? '431 Request Header Fields Too Large' : '400 Bad Request';
      if (socket.writable && cause.code !== 'ECONNRESET' && !isAnswering(socket)) {
        socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
      } else {
        socket.destroy();
      }
    });
  }

  /** Takes over the operator's limits; connections that are open keep the idle time that they were told. */
  applyLimits(limits: IngressLimits): void {
    this.server.headersTimeout = limits.headerTimeoutMs;
    this.server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
  }

  private accept(message: IncomingMessage, response: ServerResponse): void {
    const arrivedAtMs = this.context.loop.nowMs();
    const limits = this.context.board.configuration?.limits ?? INITIAL_LIMITS;
    if (headerBytes(message) > limits.maxHeaderBytes) {
      refuse(response, 431);
      message.resume();
      return;
    }
    const head = this.codec.decodeRequest(message);
    const exchange = new HttpExchange(this.context, this.codec, head, response, arrivedAtMs);
    openExchanges.add(message.socket);
    response.on('close', () => {
      openExchanges.delete(message.socket);
      exchange.closed();
    });
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    message.on('data', (chunk: Buffer) => {
      sizeBytes += chunk.length;
      if (sizeBytes <= limits.maxBodyBytes) {
        chunks.push(chunk);
      } else if (!response.headersSent) {
        refuse(response, 413);
      }
    });
    message.on('end', () => {
      if (sizeBytes <= limits.maxBodyBytes && !exchange.isDisconnected()) {
        exchange.body = chunks.length === 1 && chunks[0] !== undefined ? chunks[0] : Buffer.concat(chunks);
        this.dispatch(exchange);
      }
    });
    message.on('error', () => {
      // The connection broke while the body was read; nothing ran, and nobody is left to answer.
      exchange.closed();
    });
  }

  /**
   * Serves a request some turns of the event loop later. A router that was held up reads a request and the close of its
   * connection, which came later, in two turns: without the pause it would serve a caller that has left.
   */
  private dispatch(exchange: HttpExchange): void {
    const { board, loop } = this.context;
    board.openRequests += 1;
    afterTurns(DISPATCH_TURNS, () => {
      board.openRequests -= 1;
      loop.spawn('request', serveRequest(this.context, exchange));
    });
  }
}

function afterTurns(turns: number, callback: () => void): void {
  setImmediate(() => {
    if (turns > 1) {
      afterTurns(turns - 1, callback);
    } else {
      callback();
    }
  });
}

/** Sockets with a request that is not answered yet: an error answer in between would belong to another request. */
const openExchanges = new WeakSet<object>();

function isAnswering(socket: object): boolean {
  return openExchanges.has(socket);
}

/** Ends a request that breaks a limit, and its connection once the answer is read. */
function refuse(response: ServerResponse, status: 413 | 431): void {
  response.writeHead(status, { Connection: 'close', 'Content-Length': 0 });
  response.end();
}

/** Bytes of a colon, a space and a line end around each header. */
const HEADER_FRAME_BYTES = 4;

function headerBytes({ rawHeaders }: IncomingMessage): number {
  const textBytes = rawHeaders.reduce((sum, part) => sum + part.length, 0);
  return textBytes + (rawHeaders.length / 2) * HEADER_FRAME_BYTES;
}

class HttpExchange implements CallerExchange {
  readonly events = new Channel<RequestEvent>();
  body: Buffer = Buffer.alloc(0);
  private gone = false;
  private finished = false;

  constructor(
    private readonly context: GatewayContext,
    private readonly codec: WireCodec,
    readonly head: RequestHead,
    private readonly response: ServerResponse,
    readonly arrivedAtMs: number,
  ) {}

  isDisconnected(): boolean {
    return this.gone;
  }

  /** The connection closed; only a close before the end of the answer concerns the request. */
  closed(): void {
    if (!this.gone && !this.finished) {
      this.gone = true;
      this.context.loop.push(this.events, { kind: RequestEventKind.CallerDisconnected });
    }
  }

  start(status: number, headers: readonly string[]): void {
    this.writeHead(status, headers);
  }

  write(data: Buffer, onWritable: () => void): boolean {
    const writable = this.response.write(data);
    if (!writable) {
      this.response.once('drain', onWritable);
    }
    return writable;
  }

  end(): void {
    this.finished = true;
    this.response.end();
  }

  abort(): void {
    this.finished = true;
    this.response.destroy();
  }

  sendLocalReply(answer: LocalReply): void {
    const encoded = this.codec.encodeLocalReply(answer);
    this.writeHead(encoded.status, encoded.headers);
    this.finished = true;
    this.response.end(encoded.body);
  }

  private writeHead(status: number, headers: readonly string[]): void {
    const closing = this.context.board.draining ? ['Connection', 'close'] : [];
    this.response.writeHead(status, [...headers, ...closing]);
  }
}
