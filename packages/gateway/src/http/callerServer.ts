import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { Duplex } from 'node:stream';
import type { Task } from '@pimentostall/core';
import type { GatewayContext } from '../context.ts';
import { LogLevel } from '../observability/log.ts';
import { RequestEventKind } from '../requests/ports.ts';
import { serveRequest } from '../requests/serveRequest.ts';
import type { IngressLimits } from '../types.ts';
import { collectingBytes } from './bodyBuffer.ts';
import { HttpExchange } from './httpExchange.ts';
import type { InboundConnection } from './inboundConnection.ts';
import { InboundServer } from './inboundServer.ts';
import type { WireCodec } from './wireCodec.ts';

/** Limits that apply until a configuration is loaded. */
const INITIAL_LIMITS: IngressLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};
/** Interval at which Node checks for connections that exceed the header timeout. */
const CONNECTION_CHECK_INTERVAL_MS = 1_000;
/** Added to the advertised idle timeout, so that a request sent just before the timeout is still read. */
const IDLE_TIMEOUT_MARGIN_MS = 1_000;
/** Maximum header size that Node parses. The configured limit is checked per request. */
const PARSER_MAX_HEADER_BYTES = 65_536;

/**
 * Event loop turns after which a connection close that was queued behind a request has been reported: the first
 * completes the turn that read the request, the second reads the close, and its event is emitted before the third.
 */
const DISPATCH_DELAY_TURNS = 3;

/**
 * Event loop turns after which a request that arrived during a stall has been read: timers run before reads, so that the
 * header timeout expires first.
 */
const HEADER_TIMEOUT_DELAY_TURNS = 2;

/** Code of the error that Node reports for a connection that exceeds the header timeout. */
const HEADER_TIMEOUT_CODE = 'ERR_HTTP_REQUEST_TIMEOUT';

/**
 * Time for which the bytes of a refused connection are still read and discarded. A close with unread bytes resets the
 * connection, and the caller may lose the response.
 */
const LINGER_MS = 1_000;

/** Room beside a body of the largest size for what else a router at rest holds, such as idle connections. */
const LARGE_REQUEST_MARGIN_BYTES = 2_097_152;

/** State of one connection of a caller. */
interface CallerConnection {
  /** Exchanges without a complete response, in the order of their requests. */
  readonly exchanges: Set<HttpExchange>;
  readonly inbound: InboundConnection;
}

/** HTTP server for callers. Reads each request completely and then spawns a task to serve it. */
export class CallerServer {
  readonly server: Server;
  private readonly connections = new Map<Duplex, CallerConnection>();
  private readonly inbound: InboundServer;

  constructor(
    private readonly context: GatewayContext,
    private readonly codec: WireCodec,
  ) {
    this.server = createServer(
      {
        keepAliveTimeout: INITIAL_LIMITS.idleTimeoutMs + IDLE_TIMEOUT_MARGIN_MS,
        maxHeaderSize: PARSER_MAX_HEADER_BYTES,
        connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
        // A body has a limit for the time in which nothing arrives, not for its duration.
        requestTimeout: 0,
        requireHostHeader: false,
      },
      (request, response) => {
        this.accept(request, response);
      },
    );
    this.server.headersTimeout = INITIAL_LIMITS.headerTimeoutMs;
    this.inbound = new InboundServer(context, this.server, {
      name: 'callers',
      maxConnections: context.options.memory.maxCallerConnections,
    });
    this.admitLargestBody(INITIAL_LIMITS);
    this.server.on('clientError', (cause: NodeJS.ErrnoException, socket) => {
      if (cause.code === HEADER_TIMEOUT_CODE) {
        this.refuseUnlessRead(socket, cause);
      } else {
        this.refuseConnection(socket, cause);
      }
    });
  }

  /** Applies the configured limits. Open connections keep the idle timeout that was advertised to them. */
  applyLimits(limits: IngressLimits): void {
    this.server.headersTimeout = limits.headerTimeoutMs;
    this.server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_TIMEOUT_MARGIN_MS;
    this.admitLargestBody(limits);
  }

  /** Makes the memory account large enough for one body of the largest legal size. */
  private admitLargestBody({ maxBodyBytes }: IngressLimits): void {
    this.context.board.memory.admit(collectingBytes(maxBodyBytes) + LARGE_REQUEST_MARGIN_BYTES);
  }

  /** Tells all open requests that the router is about to exit; the board says which of them end. */
  endOpenRequests(): void {
    for (const { exchanges } of this.connections.values()) {
      for (const exchange of exchanges) {
        this.context.loop.push(exchange.events, { kind: RequestEventKind.RouterStopping });
      }
    }
  }

  private accept(message: IncomingMessage, response: ServerResponse): void {
    const arrivedAtMs = this.context.loop.nowMs();
    const limits = this.context.board.configuration?.limits ?? INITIAL_LIMITS;
    const connection = this.connectionOf(message.socket);
    if (connection === undefined) {
      // The connection was closed while its bytes were parsed.
      message.resume();
      return;
    }
    const { exchanges, inbound } = connection;
    if (inbound.closing) {
      this.context.metrics.count('pimentostall_ignored_requests_total');
      this.context.log(LogLevel.Info, 'request ignored; its connection is being closed', {
        requestId: this.codec.decodeRequest(message).requestId,
      });
      message.resume();
      return;
    }
    if (headerBytes(message) > limits.maxHeaderBytes) {
      rejectRequest(inbound, response, 431);
      message.resume();
      return;
    }
    const head = this.codec.decodeRequest(message);
    const exchange: HttpExchange = new HttpExchange(this.context, this.codec, head, response, arrivedAtMs, {
      announceClose: () => {
        // The response before a pipelined request must not close the connection, since that request may be running.
        const announcesClose = this.context.board.draining && [...exchanges].at(-1) === exchange;
        inbound.closing ||= announcesClose;
        return announcesClose;
      },
      watchResponse: () => {
        inbound.watchResponse();
      },
    });
    exchanges.add(exchange);
    response.on('close', () => {
      exchanges.delete(exchange);
      exchange.closed();
    });
    inbound.readBody(message, response, {
      maxBytes: limits.maxBodyBytes,
      onComplete: (body) => {
        if (!exchange.isDisconnected()) {
          exchange.body = body;
          this.dispatch(exchange);
        }
      },
      onExceeded: () => {
        if (!response.headersSent) {
          rejectRequest(inbound, response, 413);
        }
      },
    });
    message.on('error', () => {
      // The connection failed while the body was read. Nothing was executed, and no response can be sent.
      exchange.closed();
    });
  }

  /** Returns the state of a connection; undefined if it was closed by a limit. */
  private connectionOf(socket: Duplex): CallerConnection | undefined {
    const existing = this.connections.get(socket);
    const inbound = this.inbound.connectionOf(socket);
    if (existing !== undefined || inbound === undefined) {
      return existing;
    }
    const connection: CallerConnection = { exchanges: new Set(), inbound };
    this.connections.set(socket, connection);
    socket.once('close', () => {
      this.connections.delete(socket);
      // Node does not report the close to the responses of pipelined requests that wait for an earlier one.
      for (const exchange of connection.exchanges) {
        exchange.closed();
      }
    });
    return connection;
  }

  /** Refuses a connection that exceeds the header timeout, unless its request arrived during a stall of the event loop. */
  private refuseUnlessRead(socket: Duplex, cause: NodeJS.ErrnoException): void {
    const inbound = this.inbound.connectionOf(socket);
    const requestCount = inbound?.requestCount;
    runAfterTurns(HEADER_TIMEOUT_DELAY_TURNS, () => {
      if (inbound?.requestCount === requestCount) {
        this.refuseConnection(socket, cause);
      } else {
        this.context.log(LogLevel.Info, 'request read after the header timeout had expired in a stall', {
          requests: inbound?.requestCount,
        });
      }
    });
  }

  /**
   * Answers a connection on which no complete request was read, and closes it. The response may state that no request
   * was executed, so that none which is read from then on may be.
   */
  private refuseConnection(socket: Duplex, cause: NodeJS.ErrnoException): void {
    if (socket.destroyed) {
      return;
    }
    const connection = this.connectionOf(socket);
    // A response to a parser error would be taken as the response to an open request.
    if (
      connection === undefined ||
      !socket.writable ||
      cause.code === 'ECONNRESET' ||
      connection.exchanges.size > 0
    ) {
      socket.destroy();
      return;
    }
    const { inbound } = connection;
    if (inbound.closing) {
      return;
    }
    inbound.closing = true;
    const status = parserErrorStatus(cause.code);
    this.context.metrics.count('pimentostall_refused_connections_total', `status="${status.slice(0, 3)}"`);
    this.context.log(LogLevel.Info, 'caller connection refused without a complete request', {
      status,
      cause: cause.code ?? cause.message,
      requests: inbound.requestCount,
    });
    socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
    const timer = setTimeout(() => {
      socket.destroy();
    }, LINGER_MS);
    timer.unref();
    socket.once('close', () => {
      clearTimeout(timer);
    });
  }

  /**
   * Serves a request after a delay of some event loop turns. After a stall of the event loop, a request and the later
   * close of its connection are read in two consecutive turns; without the delay, the router would serve a caller that
   * has already disconnected.
   */
  private dispatch(exchange: HttpExchange): void {
    this.context.board.openRequests += 1;
    runAfterTurns(DISPATCH_DELAY_TURNS, () => {
      this.context.loop.spawn('request', this.serve(exchange));
    });
  }

  /** Serves a request, which is open until its task has ended and its response has left the process or failed. */
  private *serve(exchange: HttpExchange): Task<void> {
    try {
      yield* serveRequest(this.context, exchange);
    } finally {
      exchange.whenClosed(() => {
        this.context.board.openRequests -= 1;
      });
    }
  }
}

/** Returns the status code and reason phrase for an error of Node's HTTP parser. */
function parserErrorStatus(code: string | undefined): string {
  switch (code) {
    case 'HPE_HEADER_OVERFLOW':
      return '431 Request Header Fields Too Large';
    case HEADER_TIMEOUT_CODE:
      return '408 Request Timeout';
    default:
      return '400 Bad Request';
  }
}

function runAfterTurns(turns: number, callback: () => void): void {
  setImmediate(() => {
    if (turns > 1) {
      runAfterTurns(turns - 1, callback);
    } else {
      callback();
    }
  });
}

/** Rejects a request that exceeds a limit, and closes its connection after the response. */
function rejectRequest(connection: InboundConnection, response: ServerResponse, status: 413 | 431): void {
  connection.closing = true;
  response.writeHead(status, { Connection: 'close', 'Content-Length': 0 });
  response.end();
}

/** Bytes per header for the colon, the space and the line break. */
const HEADER_DELIMITER_BYTES = 4;

function headerBytes({ rawHeaders }: IncomingMessage): number {
  const textBytes = rawHeaders.reduce((sum, part) => sum + part.length, 0);
  return textBytes + (rawHeaders.length / 2) * HEADER_DELIMITER_BYTES;
}
