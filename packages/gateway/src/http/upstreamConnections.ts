import type { Socket } from 'node:net';
import { Writable } from 'node:stream';
import type { Dispatcher } from 'undici';
import { buildConnector, Client, errors, Pool } from 'undici';
import type { RequestEvent, UpstreamCall, UpstreamPort, UpstreamRequest } from '../requests/ports.ts';
import { RequestEventKind } from '../requests/ports.ts';
import type { UpstreamEntry } from '../types.ts';
import type { WireCodec } from './wireCodec.ts';

export interface UpstreamConnectionOptions {
  /** Time for a connection to open; upstreams answer within a region's delay. */
  readonly connectTimeoutMs: number;
  /** Idle time after which a connection is closed if the upstream states none. */
  readonly idleTimeoutMs: number;
  /** Connections are closed this long before the idle time that the upstream states. */
  readonly idleMarginMs: number;
  /** Connections of this router to one upstream of a service. */
  connectionLimit(serviceName: string): number;
}

/** Longest idle time that is believed of an upstream. */
const MAX_IDLE_TIMEOUT_MS = 60_000;

/** Kept connections to upstreams, one pool for each. */
export class UpstreamConnections implements UpstreamPort {
  private readonly pools = new Map<string, Pool>();

  constructor(
    private readonly codec: WireCodec,
    private readonly options: UpstreamConnectionOptions,
  ) {}

  open(
    upstream: UpstreamEntry,
    request: UpstreamRequest,
    attempt: number,
    report: (event: RequestEvent) => void,
  ): UpstreamCall {
    const call = new HttpCall(this.codec, request, attempt, report);
    const { method, target } = request.head;
    const options: CallOptions = {
      call,
      method,
      path: target,
      headers: this.codec.encodeUpstreamRequest(upstream, request),
      body: request.body.length === 0 ? null : request.body,
      // The request's own deadline bounds both.
      headersTimeout: 0,
      bodyTimeout: 0,
      // Another request on the connection would wait for a long stream to end.
      blocking: false,
    };
    this.poolOf(upstream).dispatch(options, call);
    return call;
  }

  removeUpstream(upstreamId: string): void {
    const pool = this.pools.get(upstreamId);
    this.pools.delete(upstreamId);
    // `close` waits for open requests; a failure only means that the pool is closed already.
    pool?.close().catch(() => undefined);
  }

  private poolOf(upstream: UpstreamEntry): Pool {
    const known = this.pools.get(upstream.upstreamId);
    if (known !== undefined) {
      return known;
    }
    const { connectTimeoutMs, idleTimeoutMs, idleMarginMs } = this.options;
    const pool = new Pool(`http://${upstream.address}`, {
      connections: this.options.connectionLimit(upstream.serviceName),
      pipelining: 1,
      factory: (origin, options) => new ResetAwareClient(origin, options, connectTimeoutMs),
      keepAliveTimeout: idleTimeoutMs,
      keepAliveTimeoutThreshold: idleMarginMs,
      keepAliveMaxTimeout: MAX_IDLE_TIMEOUT_MS,
    });
    this.pools.set(upstream.upstreamId, pool);
    return pool;
  }
}

/** Headers that say where an answer ends. */
const FRAMING_HEADERS: ReadonlySet<string> = new Set(['content-length', 'transfer-encoding']);

/** Code of the error with which undici itself closes a connection after a whole answer. */
const UNDICI_CLOSE_CODE = 'UND_ERR_INFO';

interface CallOptions extends Dispatcher.DispatchOptions {
  readonly call: HttpCall;
}

/**
 * A client of one connection that tells its request of a reset. undici takes an answer without a length as complete
 * when its connection is reset; such an answer is complete only if the upstream closed the connection in order.
 */
class ResetAwareClient extends Client {
  private readonly current: { call: HttpCall | undefined };

  constructor(origin: string | URL, options: Client.Options, connectTimeoutMs: number) {
    const current: { call: HttpCall | undefined } = { call: undefined };
    const connect = buildConnector({ timeout: connectTimeoutMs });
    super(origin, {
      ...options,
      connect: (target, callback) => {
        connect(target, (...[cause, socket]) => {
          if (cause !== null) {
            callback(cause, null);
            return;
          }
          // Added before undici's own listeners, so that the request knows before it is told of the end.
          socket.on('error', (failure: NodeJS.ErrnoException) => {
            if (failure.code !== UNDICI_CLOSE_CODE) {
              current.call?.recordReset();
            }
          });
          socket.on('end', () => current.call?.probeEnd(socket));
          callback(null, socket);
        });
      },
    });
    this.current = current;
  }

  override dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
    this.current.call = (options as CallOptions).call;
    return super.dispatch(options, handler);
  }
}

/** One request on a connection; turns undici's callbacks into events. */
class HttpCall implements UpstreamCall, Dispatcher.DispatchHandler {
  private controller: Dispatcher.DispatchController | undefined;
  private cancelled = false;
  private discarding = false;
  private reset = false;
  /** The answer has no length: the end of the connection is its end. */
  private endsWithConnection = false;
  private endProbe: Promise<void> | undefined;

  constructor(
    private readonly codec: WireCodec,
    private readonly request: UpstreamRequest,
    private readonly attempt: number,
    private readonly report: (event: RequestEvent) => void,
  ) {}

  cancel(): void {
    this.cancelled = true;
    this.controller?.abort(new errors.RequestAbortedError());
  }

  /**
   * Finds out whether the connection that ended was reset. libuv reports data and a reset that arrive together as
   * an orderly end; only a write then tells them apart. The upstream has closed and ignores the line break.
   */
  probeEnd(socket: Socket): void {
    if (this.endsWithConnection && !this.silenced) {
      this.endProbe = new Promise((resolve) => {
        // Node replaces `write` of a socket that the other side has ended.
        Writable.prototype.write.call(socket, '\r\n', 'latin1', (cause) => {
          this.reset ||= cause instanceof Error;
          resolve();
        });
      });
    }
  }

  /** The connection failed; an end that follows is no end of the answer. */
  recordReset(): void {
    this.reset = true;
  }

  discard(): void {
    this.discarding = true;
    this.controller?.resume();
  }

  pause(): void {
    this.controller?.pause();
  }

  resume(): void {
    this.controller?.resume();
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.cancelled) {
      controller.abort(new errors.RequestAbortedError());
      return;
    }
    this.report({ kind: RequestEventKind.UpstreamSent, attempt: this.attempt });
  }

  onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
    if (this.silenced || status < 200) {
      return;
    }
    const { rawHeaders } = controller as { rawHeaders?: readonly (Buffer | string)[] | null };
    const headers = (rawHeaders ?? []).map((part) =>
      typeof part === 'string' ? part : part.toString('latin1'),
    );
    this.endsWithConnection = !headers.some(
      (name, index) => index % 2 === 0 && FRAMING_HEADERS.has(name.toLowerCase()),
    );
    const head = this.codec.decodeUpstreamHead(this.request, status, headers);
    this.report({ kind: RequestEventKind.UpstreamHead, attempt: this.attempt, head });
  }

  onResponseData(_controller: Dispatcher.DispatchController, data: Buffer): void {
    if (!this.silenced) {
      this.report({ kind: RequestEventKind.UpstreamData, attempt: this.attempt, data });
    }
  }

  onResponseEnd(): void {
    if (this.endProbe === undefined) {
      this.reportEnd();
    } else {
      void this.endProbe.then(() => {
        this.reportEnd();
      });
    }
  }

  private reportEnd(): void {
    if (this.reset) {
      this.fail('the connection was reset before the end of the answer');
    } else if (!this.silenced) {
      this.report({ kind: RequestEventKind.UpstreamEnd, attempt: this.attempt });
    }
  }

  onResponseError(_controller: Dispatcher.DispatchController | undefined, cause: Error): void {
    this.fail(describe(cause));
  }

  private fail(detail: string): void {
    if (!this.silenced) {
      this.report({ kind: RequestEventKind.UpstreamFailed, attempt: this.attempt, detail });
    }
  }

  private get silenced(): boolean {
    return this.cancelled || this.discarding;
  }
}

function describe(cause: Error): string {
  const { code } = cause as NodeJS.ErrnoException;
  return code === undefined ? cause.message : `${code}: ${cause.message}`;
}
