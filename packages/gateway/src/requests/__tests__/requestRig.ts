import { Channel, seededRandom } from '@pimentostall/core';
import { createBlackboard } from '../../blackboard.ts';
import type { GatewayContext } from '../../context.ts';
import { GatewayMetrics } from '../../observability/metrics.ts';
import { createOptions } from '../../options.ts';
import { DEFAULT_PLACEMENT } from '../../placement/options.ts';
import { UpstreamView } from '../../placement/upstreamView.ts';
import { RouteTable } from '../../routing/routeTable.ts';
import { TaskLoop } from '../../runtime/taskLoop.ts';
import type { Route } from '../../types.ts';
import { RouteKind, UpstreamState } from '../../types.ts';
import type {
  CallerExchange,
  LocalReply,
  RequestEvent,
  RequestHead,
  UpstreamCall,
  UpstreamResponseHead,
  UpstreamRequest,
  UpstreamWatch,
} from '../ports.ts';
import { RequestEventKind, RetryAfterKind, UpstreamFailure, WatchState } from '../ports.ts';
import { serveRequest } from '../serveRequest.ts';

export const ROUTE: Route = {
  name: 'stock',
  hostname: 'shop.example',
  prefix: '/stock/',
  kind: RouteKind.Safe,
  timeoutMs: 1_000,
  targetLatencyMs: 100,
  targetGapMs: undefined,
  priority: 0,
  maxAttempts: 2,
  anonymous: true,
  resumable: false,
  targets: [{ serviceName: 'orders', weight: 1 }],
  allowedRegions: [],
};

export const RESPONSE_HEAD: UpstreamResponseHead = {
  status: 200,
  notExecuted: false,
  wrongUpstream: false,
  matchesRequest: true,
  belongsToOtherRequest: false,
  upstreamLeaving: false,
  retryAfter: { kind: RetryAfterKind.Absent },
  signed: true,
  forwardHeaders: [],
};

/** A request as received by a fake upstream, with methods to respond to it. */
export interface FakeUpstreamCall {
  readonly upstreamId: string;
  readonly request: UpstreamRequest;
  cancelled: boolean;
  sent(): void;
  /** @param endsWithConnection true for a response without a length or chunks */
  head(head?: Partial<UpstreamResponseHead>, bodyBytes?: number, endsWithConnection?: boolean): void;
  data(text: string): void;
  /** @param endsWithConnection true for a response without a length or chunks */
  end(endsWithConnection?: boolean): void;
  fail(failure?: UpstreamFailure): void;
}

/** What the fake caller has received. */
export interface FakeCaller {
  status: number | undefined;
  body: string;
  ended: boolean;
  aborted: boolean;
  localReply: LocalReply | undefined;
  disconnect(): void;
  /** Ends the request as a draining router does before it exits. */
  endRequest(includesStarted?: boolean): void;
}

/** Head of a request to the route of the rig. */
export const REQUEST_HEAD: RequestHead = {
  requestId: 'request-1',
  method: 'GET',
  target: '/stock/1',
  host: 'shop.example',
  deadlineMs: 800,
  key: undefined,
  usage: undefined,
  promptParts: [],
  lastEventId: undefined,
  forwardHeaders: [],
};

/** Test harness for the request path, with fake upstreams, fake callers and a manual clock. */
export class RequestRig {
  readonly calls: FakeUpstreamCall[] = [];
  /** Ids of the upstreams at whose address nothing listens. */
  readonly ended = new Set<string>();
  /** What a watch of an upstream shows; by default its connection was not opened. */
  /** Upstreams whose processes hold the connections of responses that they have ended. */
  readonly halfOpen = new Set<string>();
  readonly watchStates = new Map<string, WatchState>();
  /** Ids of the upstreams that are watched, once for each watch. */
  readonly watched: string[] = [];
  /** Messages of the log. */
  readonly logged: string[] = [];
  readonly context: GatewayContext;
  private nowMs = 1_000;
  private timer: { readonly atMs: number; readonly run: () => void } | undefined;

  constructor(route: Partial<Route> = {}, upstreamIds: readonly string[] = ['a', 'b']) {
    const board = createBlackboard();
    const options = createOptions()._unsafeUnwrap();
    const loop = new TaskLoop(
      {
        nowMs: () => this.nowMs,
        startTimer: (delayMs, run) => {
          const timer = { atMs: this.nowMs + delayMs, run };
          this.timer = timer;
          return () => {
            this.timer = this.timer === timer ? undefined : this.timer;
          };
        },
      },
      (task, cause) => {
        throw new Error(`task ${task} failed`, { cause });
      },
    );
    const routes = [{ ...ROUTE, ...route }];
    board.configuration = {
      version: 1,
      routes,
      services: new Map([
        ['orders', { name: 'orders', maxConnections: 10, engine: undefined, warmup: undefined }],
      ]),
      organisations: new Map(),
      requiresKeys: false,
      limits: { maxHeaderBytes: 1_024, maxBodyBytes: 1_024, headerTimeoutMs: 1_000, idleTimeoutMs: 1_000 },
    };
    board.routeTable = new RouteTable(routes);
    for (const upstreamId of upstreamIds) {
      board.upstreams.set(upstreamId, createView(upstreamId));
    }
    const failUnusedPort = (): never => {
      throw new Error('not used');
    };
    this.context = {
      board,
      loop,
      options,
      self: {
        routerId: 'r',
        incarnationId: 'r-1',
        callerAddress: '',
        peerAddress: '',
        region: 'x',
        availabilityZone: 'z',
        ready: true,
      },
      ledgerStore: { commit: failUnusedPort },
      peerPort: { borrow: failUnusedPort, cancel: failUnusedPort, returnLoan: failUnusedPort },
      suspectPort: { exchange: failUnusedPort },
      upstreamPort: {
        open: (upstream, request, attempt, report) =>
          this.open(upstream.upstreamId, request, attempt, report),
        hasEnded: (upstream) => Promise.resolve(this.ended.has(upstream.upstreamId)),
        watch: (upstream) => this.watch(upstream.upstreamId),
        removeUpstream: () => undefined,
      },
      log: (_level, message) => this.logged.push(message),
      metrics: new GatewayMetrics(),
      random: seededRandom(1),
      location: { availabilityZone: 'z', region: 'x', regionOf: () => 'x' },
      maxRouterCount: () => 1,
    };
  }

  addUpstream(upstreamId: string): void {
    this.context.board.upstreams.set(upstreamId, createView(upstreamId));
  }

  advance(durationMs: number): void {
    const untilMs = this.nowMs + durationMs;
    while (this.timer !== undefined && this.timer.atMs <= untilMs) {
      const { atMs, run } = this.timer;
      this.timer = undefined;
      this.nowMs = atMs;
      run();
    }
    this.nowMs = untilMs;
  }

  /** Lets time pass in which nothing runs, as in a freeze of the VM. */
  stall(durationMs: number): void {
    const { timer } = this;
    this.nowMs += durationMs;
    this.timer = undefined;
    timer?.run();
  }

  /** The most recent upstream call. */
  get call(): FakeUpstreamCall {
    const call = this.calls.at(-1);
    if (call === undefined) {
      throw new Error('no upstream was called');
    }
    return call;
  }

  send(head: Partial<RequestHead> = {}): FakeCaller {
    const events = new Channel<RequestEvent>();
    let gone = false;
    const { loop } = this.context;
    const caller: FakeCaller = {
      status: undefined,
      body: '',
      ended: false,
      aborted: false,
      localReply: undefined,
      disconnect: () => {
        gone = true;
        loop.push(events, { kind: RequestEventKind.CallerDisconnected });
      },
      endRequest: (includesStarted = false) => {
        this.context.board.endingRequests = true;
        this.context.board.endingResponses = includesStarted;
        loop.push(events, { kind: RequestEventKind.RouterStopping });
      },
    };
    const exchange: CallerExchange = {
      head: { ...REQUEST_HEAD, ...head },
      body: Buffer.alloc(0),
      arrivedAtMs: this.nowMs,
      events,
      isDisconnected: () => gone,
      start: (status) => {
        caller.status = status;
      },
      write: (data) => {
        caller.body += data.toString();
        return true;
      },
      end: () => {
        caller.ended = true;
      },
      abort: () => {
        caller.aborted = true;
      },
      sendLocalReply: (reply) => {
        caller.localReply = reply;
        caller.status = reply.status;
      },
    };
    loop.spawn('request', serveRequest(this.context, exchange));
    return caller;
  }

  private watch(upstreamId: string): UpstreamWatch {
    const { watched, watchStates } = this;
    watched.push(upstreamId);
    return {
      get state() {
        return watchStates.get(upstreamId) ?? WatchState.Unavailable;
      },
      close: () => {
        watched.splice(watched.indexOf(upstreamId), 1);
      },
    };
  }

  private open(
    upstreamId: string,
    request: UpstreamRequest,
    attempt: number,
    report: (event: RequestEvent) => void,
  ): UpstreamCall {
    const call: FakeUpstreamCall = {
      upstreamId,
      request,
      cancelled: false,
      sent: () => {
        report({ kind: RequestEventKind.UpstreamSent, attempt });
      },
      head: (head = {}, bodyBytes, endsWithConnection = false) => {
        report({
          kind: RequestEventKind.UpstreamHead,
          attempt,
          head: { ...RESPONSE_HEAD, ...head },
          bodyBytes,
          endsWithConnection,
        });
      },
      data: (text) => {
        report({ kind: RequestEventKind.UpstreamData, attempt, data: Buffer.from(text) });
      },
      end: (endsWithConnection = false) => {
        report({ kind: RequestEventKind.UpstreamEnd, attempt, endsWithConnection });
      },
      fail: (failure = UpstreamFailure.ConnectionClosed) => {
        report({ kind: RequestEventKind.UpstreamFailed, attempt, failure, detail: 'failed' });
      },
    };
    this.calls.push(call);
    return {
      cancel: () => {
        call.cancelled = true;
      },
      discard: () => undefined,
      pause: () => undefined,
      resume: () => undefined,
      staysHalfOpen: () => Promise.resolve(this.halfOpen.has(upstreamId)),
      release: () => undefined,
    };
  }
}

function createView(upstreamId: string): UpstreamView {
  const entry = {
    upstreamId,
    serviceName: 'orders',
    address: '127.0.0.1:1',
    availabilityZone: 'z',
    state: UpstreamState.Ready,
    slots: 1,
    warmupLeftMs: 0,
    startTimeMs: undefined,
    sequence: undefined,
  };
  return new UpstreamView(entry, DEFAULT_PLACEMENT);
}
