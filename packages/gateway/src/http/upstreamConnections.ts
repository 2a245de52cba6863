import type { Socket } from 'node:net';
import { connect as connectSocket } from 'node:net';
import type { Dispatcher } from 'undici';
import { buildConnector, Client, errors, Pool } from 'undici';
import type {
  RequestEvent,
  UpstreamCall,
  UpstreamPort,
  UpstreamRequest,
  UpstreamWatch,
} from '../requests/ports.ts';
import { RequestEventKind, UpstreamFailure } from '../requests/ports.ts';
import type { UpstreamEntry } from '../types.ts';
import { HeldEnd } from './heldEnd.ts';
import { WatchConnections } from './watchConnections.ts';
import type { WireCodec } from './wireCodec.ts';

export interface UpstreamConnectionOptions {
  /** Timeout for opening a connection; upstreams respond within the network latency of a region. */
  readonly connectTimeoutMs: number;
  /** Idle timeout of a connection if the upstream advertises none. */
  readonly idleTimeoutMs: number;
  /** Connections are closed this long before the idle timeout that the upstream advertises. */
  readonly idleMarginMs: number;
  /** Maximum number of connections from this router to one upstream of a service. */
  connectionLimit(serviceName: string): number;
  /** Called with the time in which a connection to an upstream was opened. */
  onConnected?(upstream: UpstreamEntry, durationMs: number): void;
}

/** Upper bound for the idle timeout that an upstream advertises. */
const MAX_IDLE_TIMEOUT_MS = 60_000;

/** Maximum bytes of a response besides its body: four times the headers that undici accepts. */
const MAX_FRAMING_BYTES = 65_536;
/** Additional bytes for each byte of the body; a chunk of one byte has five, and extensions add to them. */
const MAX_FRAMING_PER_BODY_BYTE = 16;

/** Bytes of a discarded body that are read so that its connection can be reused; more costs more than a connection. */
const MAX_DISCARDED_BYTES = 65_536;

/** Lower statuses are those of interim responses. */
const FIRST_FINAL_STATUS = 200;

/** Range of valid statuses (RFC 9110, section 15). */
const MIN_STATUS = 100;
const MAX_STATUS = 599;

/** Statuses of responses that end with their head. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** Time within which a discarded body must end; until then its connection serves no other request. */
const DISCARD_TIMEOUT_MS = 1_000;

/** Longest time for which the end of a connection is held back. */
const MAX_HELD_END_MS = 4_000;

/** Time for which a response must last for its upstream to be watched. */
const WATCH_DELAY_MS = 50;

/** Persistent connections to upstreams, with one pool per upstream. */
export class UpstreamConnections implements UpstreamPort {
  private readonly pools = new Map<string, Pool>();
  /** Checks in progress by address, shared by the attempts that broke off together. */
  private readonly endChecks = new Map<string, Promise<boolean>>();
  private readonly watches: WatchConnections;

  constructor(
    private readonly codec: WireCodec,
    private readonly options: UpstreamConnectionOptions,
  ) {
    const { connectTimeoutMs, idleTimeoutMs, idleMarginMs } = options;
    this.watches = new WatchConnections({
      connectTimeoutMs,
      // The next one is open well before the upstream closes this one as idle.
      renewalIntervalMs: (idleTimeoutMs - idleMarginMs) / 2,
      openDelayMs: WATCH_DELAY_MS,
    });
  }

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
      // No timeouts of undici's own, since the deadline of the request covers both.
      headersTimeout: 0,
      bodyTimeout: 0,
      // Another request on the same connection would have to wait for the end of a long stream.
      blocking: false,
    };
    this.getOrCreatePool(upstream).dispatch(options, call);
    return call;
  }

  hasEnded({ address }: UpstreamEntry): Promise<boolean> {
    const existing = this.endChecks.get(address);
    if (existing !== undefined) {
      return existing;
    }
    const check = hasStoppedListening(address, this.options.connectTimeoutMs).finally(() => {
      this.endChecks.delete(address);
    });
    this.endChecks.set(address, check);
    return check;
  }

  watch(upstream: UpstreamEntry): UpstreamWatch {
    return this.watches.watch(upstream);
  }

  removeUpstream(upstreamId: string): void {
    const pool = this.pools.get(upstreamId);
    this.pools.delete(upstreamId);
    // `close` waits for open requests. It only rejects if the pool is already closed.
    pool?.close().catch(() => undefined);
  }

  private getOrCreatePool(upstream: UpstreamEntry): Pool {
    const existing = this.pools.get(upstream.upstreamId);
    if (existing !== undefined) {
      return existing;
    }
    const { connectTimeoutMs, idleTimeoutMs, idleMarginMs } = this.options;
    const pool = new Pool(`http://${upstream.address}`, {
      connections: this.options.connectionLimit(upstream.serviceName),
      pipelining: 1,
      factory: (origin, options) =>
        new ResetAwareClient(origin, options, connectTimeoutMs, (durationMs) =>
          this.options.onConnected?.(upstream, durationMs),
        ),
      keepAliveTimeout: idleTimeoutMs,
      keepAliveTimeoutThreshold: idleMarginMs,
      keepAliveMaxTimeout: MAX_IDLE_TIMEOUT_MS,
    });
    this.pools.set(upstream.upstreamId, pool);
    return pool;
  }
}

/** Code of the error with which undici itself closes a connection after a complete response. */
const UNDICI_CLOSE_CODE = 'UND_ERR_INFO';

interface CurrentConnection {
  /** The newest call of the client. */
  call: HttpCall | undefined;
  socket: Socket | undefined;
}

interface CallOptions extends Dispatcher.DispatchOptions {
  readonly call: HttpCall;
}

/**
 * Single-connection client that reports connection resets and received bytes to the current call. undici treats a
 * close-delimited response as complete even if the connection is reset; it is only complete after an orderly close by
 * the upstream. It limits the headers of a response, but not the bytes that it skips: a reason phrase, interim heads,
 * chunk extensions and blank lines.
 */
class ResetAwareClient extends Client {
  private readonly current: CurrentConnection;

  constructor(
    origin: string | URL,
    options: Client.Options,
    connectTimeoutMs: number,
    onConnected: (durationMs: number) => void,
  ) {
    const current: CurrentConnection = { call: undefined, socket: undefined };
    const connect = buildConnector({ timeout: connectTimeoutMs });
    super(origin, {
      ...options,
      connect: (target, callback) => {
        const startedAtMs = performance.now();
        connect(target, (...[cause, socket]) => {
          if (cause !== null) {
            callback(cause, null);
            return;
          }
          onConnected(performance.now() - startedAtMs);
          current.socket = socket;
          // Registered before undici's own listeners, so that the call learns of a reset before `onResponseEnd`.
          socket.on('error', (failure: NodeJS.ErrnoException) => {
            if (failure.code !== UNDICI_CLOSE_CODE) {
              current.call?.recordReset();
            }
          });
          callback(null, socket);
          let parsedBytes = 0;
          // Registered after undici's own listener, which has parsed all that is no longer buffered.
          socket.on('readable', () => {
            const addedBytes = socket.bytesRead - socket.readableLength - parsedBytes;
            parsedBytes += addedBytes;
            if (current.call?.hasExcessFraming(addedBytes) === true) {
              socket.destroy(new errors.SocketError('too many bytes besides the body of the response'));
            }
          });
        });
      },
    });
    this.current = current;
  }

  override dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
    const { current } = this;
    const { call } = options as CallOptions;
    current.call = call;
    call.closeConnection = () => {
      if (current.call === call) {
        current.socket?.destroy(new errors.SocketError('call was cancelled'));
      }
    };
    call.holdEnd = (onEnd) =>
      current.call === call && current.socket !== undefined ? new HeldEnd(current.socket, onEnd) : undefined;
    return super.dispatch(options, handler);
  }
}

/** One request to an upstream. Translates undici's callbacks into request events. */
class HttpCall implements UpstreamCall, Dispatcher.DispatchHandler {
  private controller: Dispatcher.DispatchController | undefined;
  /** Closes the connection of this call; undefined until it is assigned to a client. */
  closeConnection: (() => void) | undefined;
  /** Holds back the end of the connection of this call. */
  holdEnd: ((onEnd: () => void) => HeldEnd | undefined) | undefined;
  private ended = false;
  private endReported = false;
  private cancelled = false;
  private discarding = false;
  private connectionReset = false;
  /** True for a close-delimited response, which has no length and ends with its connection. */
  private isCloseDelimited = false;
  /** The end of the connection of a close-delimited response, until the call is released. */
  private heldEnd: HeldEnd | undefined;
  private releaseTimer: NodeJS.Timeout | undefined;
  /** Bytes that were received on the connection since the request was sent. */
  private receivedBytes = 0;
  private bodyBytes = 0;
  private discardLimitBytes = Infinity;
  private discardTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly codec: WireCodec,
    private readonly request: UpstreamRequest,
    private readonly attempt: number,
    private readonly report: (event: RequestEvent) => void,
  ) {}

  cancel(): void {
    this.cancelled = true;
    if (this.controller !== undefined && !this.ended) {
      // An aborted request stays in undici's queue, which opens another connection for it unless the first one failed.
      this.closeConnection?.();
      this.controller.abort(new errors.RequestAbortedError());
    }
  }

  /**
   * Reports the end of a close-delimited response while its connection is held, unless it ended with a reset. If data and
   * a reset arrive together, libuv reports an orderly end, and only a write reveals the reset.
   */
  private async reportHeldEnd(): Promise<void> {
    if (this.ignoresEvents) {
      this.release();
      return;
    }
    this.releaseTimer = setTimeout(() => {
      this.release();
    }, MAX_HELD_END_MS).unref();
    const isOpen = await this.heldEnd?.sendLineBreak();
    this.connectionReset ||= isOpen === false;
    this.reportEnd();
  }

  async staysHalfOpen(durationMs: number): Promise<boolean> {
    return (await this.heldEnd?.staysOpen(durationMs)) ?? false;
  }

  release(): void {
    clearTimeout(this.releaseTimer);
    this.heldEnd?.release();
  }

  /** Marks the connection as failed, so that a subsequent end does not complete the response. */
  recordReset(): void {
    this.connectionReset = true;
  }

  /** Counts bytes that were received; returns true if those besides the body exceed the limit. */
  hasExcessFraming(addedBytes: number): boolean {
    this.receivedBytes += addedBytes;
    const framingBytes = this.receivedBytes - this.bodyBytes;
    return framingBytes > MAX_FRAMING_BYTES + MAX_FRAMING_PER_BODY_BYTE * this.bodyBytes;
  }

  discard(): void {
    this.discarding = true;
    this.discardLimitBytes = this.bodyBytes + MAX_DISCARDED_BYTES;
    this.discardTimer = setTimeout(() => {
      this.cancel();
    }, DISCARD_TIMEOUT_MS).unref();
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
    if (this.ignoresEvents) {
      return;
    }
    if (status < MIN_STATUS || status > MAX_STATUS) {
      this.fail(UpstreamFailure.Other, `invalid status ${status}`);
      this.cancel();
      return;
    }
    if (status < FIRST_FINAL_STATUS) {
      return;
    }
    const { rawHeaders } = controller as { rawHeaders?: readonly (Buffer | string)[] | null };
    const headers = (rawHeaders ?? []).map((part) =>
      typeof part === 'string' ? part : part.toString('latin1'),
    );
    const framing = readFraming(headers);
    const hasBody = !BODILESS_STATUSES.has(status) && this.request.head.method !== 'HEAD';
    this.isCloseDelimited = hasBody && framing.isCloseDelimited;
    if (this.isCloseDelimited) {
      this.heldEnd = this.holdEnd?.(() => void this.reportHeldEnd());
    }
    const head = this.codec.decodeUpstreamHead(this.request, status, headers);
    const { bodyBytes } = framing;
    this.report({
      kind: RequestEventKind.UpstreamHead,
      attempt: this.attempt,
      head,
      bodyBytes,
      endsWithConnection: this.isCloseDelimited,
    });
  }

  onResponseData(_controller: Dispatcher.DispatchController, data: Buffer): void {
    this.bodyBytes += data.length;
    if (this.bodyBytes > this.discardLimitBytes) {
      this.cancel();
    }
    if (!this.ignoresEvents) {
      this.report({ kind: RequestEventKind.UpstreamData, attempt: this.attempt, data });
    }
  }

  onResponseEnd(): void {
    this.ended = true;
    clearTimeout(this.discardTimer);
    this.reportEnd();
  }

  private reportEnd(): void {
    if (this.endReported) {
      return;
    }
    this.endReported = true;
    if (this.connectionReset) {
      this.fail(UpstreamFailure.ConnectionClosed, 'connection reset before the end of the response');
    } else if (!this.ignoresEvents) {
      this.report({
        kind: RequestEventKind.UpstreamEnd,
        attempt: this.attempt,
        endsWithConnection: this.isCloseDelimited,
      });
    }
  }

  onResponseError(_controller: Dispatcher.DispatchController | undefined, cause: Error): void {
    this.ended = true;
    clearTimeout(this.discardTimer);
    if (!this.endReported) {
      this.fail(failureOf(cause), formatError(cause));
    }
  }

  private fail(failure: UpstreamFailure, detail: string): void {
    if (!this.ignoresEvents) {
      this.report({ kind: RequestEventKind.UpstreamFailed, attempt: this.attempt, failure, detail });
    }
  }

  private get ignoresEvents(): boolean {
    return this.cancelled || this.discarding;
  }
}

interface Framing {
  /** Undefined if the head does not announce a length. */
  readonly bodyBytes: number | undefined;
  readonly isCloseDelimited: boolean;
}

function readFraming(headers: readonly string[]): Framing {
  let bodyBytes: number | undefined;
  let isChunked = false;
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const name = headers[index]?.toLowerCase();
    if (name === 'content-length') {
      bodyBytes = Number(headers[index + 1]);
    }
    isChunked ||= name === 'transfer-encoding';
  }
  return { bodyBytes, isCloseDelimited: bodyBytes === undefined && !isChunked };
}

/**
 * Time for which a connection must stay open to count as accepted by a running process. A process that ends may close
 * its listening socket after its connections.
 */
const ACCEPTED_AFTER_MS = 50;

enum ConnectionProbe {
  Refused = 'refused',
  /** Opened and closed at once: the process has just ended, or accepts no more connections. */
  Closed = 'closed',
  /** Stayed open, or nothing responded in time. */
  Open = 'open',
}

/** Resolves to true if nothing listens at the address any more; does not reject. */
async function hasStoppedListening(address: string, timeoutMs: number): Promise<boolean> {
  const first = await probeConnection(address, timeoutMs);
  const last = first === ConnectionProbe.Closed ? await probeConnection(address, timeoutMs) : first;
  return last === ConnectionProbe.Refused;
}

function probeConnection(address: string, timeoutMs: number): Promise<ConnectionProbe> {
  const { hostname, port } = new URL(`http://${address}`);
  return new Promise((resolve) => {
    const socket = connectSocket({ host: hostname, port: Number(port) });
    const finish = (result: ConnectionProbe): void => {
      clearTimeout(timer);
      socket.destroy();
      resolve(result);
    };
    let timer = setTimeout(finish, timeoutMs, ConnectionProbe.Open);
    socket.on('connect', () => {
      clearTimeout(timer);
      timer = setTimeout(finish, ACCEPTED_AFTER_MS, ConnectionProbe.Open);
    });
    socket.on('end', () => {
      finish(ConnectionProbe.Closed);
    });
    socket.on('error', ({ code }: NodeJS.ErrnoException) => {
      finish(
        code === 'ECONNREFUSED'
          ? ConnectionProbe.Refused
          : code === 'ECONNRESET'
            ? ConnectionProbe.Closed
            : ConnectionProbe.Open,
      );
    });
    socket.resume();
  });
}

function failureOf(cause: Error): UpstreamFailure {
  switch ((cause as NodeJS.ErrnoException).code) {
    case 'ECONNREFUSED':
      return UpstreamFailure.ConnectionRefused;
    case 'ECONNRESET':
    case 'EPIPE':
    case 'UND_ERR_SOCKET':
      return UpstreamFailure.ConnectionClosed;
    default:
      return UpstreamFailure.Other;
  }
}

function formatError(cause: Error): string {
  const { code } = cause as NodeJS.ErrnoException;
  return code === undefined ? cause.message : `${code}: ${cause.message}`;
}
