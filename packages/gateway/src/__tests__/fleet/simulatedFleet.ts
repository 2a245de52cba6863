import type { RandomSource } from '@pimentostall/core';
import { Channel } from '@pimentostall/core';
import { createBlackboard } from '../../blackboard.ts';
import type { GatewayContext } from '../../context.ts';
import { Timeline } from '../../money/__tests__/timeline.ts';
import { GatewayMetrics } from '../../observability/metrics.ts';
import { createOptions } from '../../options.ts';
import { UpstreamView } from '../../placement/upstreamView.ts';
import type { CallerExchange, LocalReply, RequestEvent } from '../../requests/ports.ts';
import { WatchState } from '../../requests/ports.ts';
import { ageReport } from '../../quarantine/ageReport.ts';
import {
  exchangeSuspects,
  receiveSuspects,
  requestSuspectResync,
} from '../../quarantine/exchangeSuspects.ts';
import { readQuarantine, storeQuarantine } from '../../quarantine/storeQuarantine.ts';
import type { QuarantineStore, SuspectReport } from '../../quarantine/types.ts';
import { serveRequest } from '../../requests/serveRequest.ts';
import { RouteTable } from '../../routing/routeTable.ts';
import { TaskLoop } from '../../runtime/taskLoop.ts';
import type { GatewayConfiguration, Route, UpstreamEntry } from '../../types.ts';
import { RouteKind } from '../../types.ts';
import { SERVICE, SimulatedEngines } from './simulatedEngines.ts';

const ROUTE: Route = {
  name: 'draft',
  hostname: 'desk.example',
  prefix: '/draft/',
  kind: RouteKind.Streaming,
  timeoutMs: 8_000,
  targetLatencyMs: 600,
  targetGapMs: 250,
  priority: 0,
  maxAttempts: 4,
  anonymous: true,
  resumable: true,
  targets: [{ serviceName: SERVICE, weight: 1 }],
  allowedRegions: [],
};

const CONFIGURATION: GatewayConfiguration = {
  version: 1,
  routes: [ROUTE],
  services: new Map([
    [
      SERVICE,
      {
        name: SERVICE,
        maxConnections: 400,
        engine: { slots: 16, kvCapacityTokens: 100_000, tokensPerEvent: 4, maxCacheFollowers: 8 },
        warmup: undefined,
      },
    ],
  ]),
  organisations: new Map(),
  requiresKeys: false,
  limits: { maxHeaderBytes: 1_024, maxBodyBytes: 1_024, headerTimeoutMs: 1_000, idleTimeoutMs: 1_000 },
};

/** How a request of the simulation ended for its caller. */
export interface RequestOutcome {
  readonly requestId: string;
  readonly sentAtMs: number;
  readonly isTainted: boolean;
  readonly parts: readonly string[];
  /** Number of complete events. */
  events: number;
  complete: boolean;
  reply: LocalReply | undefined;
  aborted: boolean;
}

interface SimulatedRouter {
  context: GatewayContext;
  alive: boolean;
  /** True while the other routers and the store cannot be reached. */
  cut: boolean;
}

/** Time of a call between two routers, or to the store, in one direction. */
const CALL_MS = 5;

/** Routers that serve requests of callers at simulated engines; each failed request comes back once. */
export class SimulatedFleet {
  readonly timeline = new Timeline();
  readonly engines: SimulatedEngines;
  readonly outcomes: RequestOutcome[] = [];
  private readonly routers: SimulatedRouter[] = [];
  private entries: readonly UpstreamEntry[] = [];
  private requestCount = 0;
  /** Rows of the quarantine in the store, with the time at which they were written. */
  private readonly rows = new Map<string, { report: SuspectReport; writtenAtMs: number }>();
  /** Number of messages between routers. */
  exchangeCount = 0;

  constructor(
    private readonly routerCount: number,
    engineCount: number,
    private readonly random: RandomSource,
  ) {
    this.engines = new SimulatedEngines(this.timeline, random, (entries) => {
      this.entries = entries;
      for (const { context } of this.routers) {
        this.applyRegister(context);
      }
    });
    this.engines.start(engineCount);
    for (let index = 0; index < routerCount; index += 1) {
      this.routers.push({ context: this.createContext(index), alive: true, cut: false });
    }
    for (const index of this.routers.keys()) {
      this.startRouter(index);
    }
  }

  /**
   * Sends a request with the given shared parts, and one of its own.
   *
   * @param routerIndex undefined for a random router
   */
  send(sharedParts: readonly string[], mayComeBack = true, routerIndex?: number): void {
    const alive = this.routers.filter((router) => router.alive);
    const router =
      routerIndex === undefined ? alive[Math.floor(this.random() * alive.length)] : this.routers[routerIndex];
    if (router === undefined) {
      return;
    }
    this.requestCount += 1;
    const requestId = `request-${this.requestCount}`;
    const outcome: RequestOutcome = {
      requestId,
      sentAtMs: this.timeline.nowMs,
      isTainted: sharedParts.some((partId) => this.engines.crashingParts.has(partId)),
      parts: sharedParts,
      events: 0,
      complete: false,
      reply: undefined,
      aborted: false,
    };
    this.outcomes.push(outcome);
    const comeBack = (delayMs: number): void => {
      if (mayComeBack) {
        this.timeline.schedule(delayMs, () => {
          this.send(sharedParts, false);
        });
      }
    };
    const exchange: CallerExchange = {
      head: {
        requestId,
        method: 'POST',
        target: '/draft/1',
        host: 'desk.example',
        deadlineMs: 8_000,
        key: undefined,
        usage: { promptTokens: 1_000, maxOutputTokens: 80 },
        promptParts: [...sharedParts, `own-${requestId}`].map((partId) => ({ partId, tokens: 300 })),
        lastEventId: undefined,
        forwardHeaders: [],
      },
      body: Buffer.alloc(0),
      arrivedAtMs: this.timeline.nowMs,
      events: new Channel<RequestEvent>(),
      isDisconnected: () => false,
      start: () => undefined,
      write: (data) => {
        outcome.events += data.toString().split('\n\n').length - 1;
        return true;
      },
      end: () => {
        outcome.complete = true;
      },
      abort: () => {
        outcome.aborted = true;
        comeBack(50);
      },
      sendLocalReply: (reply) => {
        outcome.reply = reply;
        comeBack(Math.min(reply.retryAfterMs ?? 50, 2_500));
      },
    };
    router.context.loop.spawn('request', serveRequest(router.context, exchange));
  }

  /** Ends a router; its requests get no answer. */
  kill(index: number): void {
    const router = this.routers[index];
    if (router !== undefined) {
      router.alive = false;
      router.context.board.stopped = true;
    }
  }

  /** Starts a new incarnation of a router, which knows nothing. */
  restart(index: number): void {
    const router = this.routers[index];
    if (router !== undefined) {
      router.context = this.createContext(index);
      router.alive = true;
      this.startRouter(index);
    }
  }

  cut(index: number, isCut: boolean): void {
    const router = this.routers[index];
    if (router !== undefined) {
      router.cut = isCut;
      if (!isCut) {
        requestSuspectResync(router.context);
      }
    }
  }

  isQuarantined(partId: string): boolean[] {
    return this.routers.map(({ context }) => context.board.quarantine.table.isQuarantined(partId));
  }

  async advance(durationMs: number): Promise<void> {
    await this.timeline.advance(durationMs, () => undefined);
  }

  /** Arrivals of requests with a crashing part at engines, later than a time after the fifth crash. */
  arrivalsAfterFifthCrash(delayMs: number): number {
    const fifthAtMs = this.engines.crashTimesMs[4] ?? Infinity;
    return this.engines.arrivals.filter(({ atMs, isTainted }) => isTainted && atMs > fifthAtMs + delayMs)
      .length;
  }

  /**
   * Arrivals at an engine of requests that were sent later than a time after the engine had told their router that it is
   * leaving.
   */
  arrivalsAtLeavingEngines(delayMs: number): number {
    const sentAtMs = new Map(this.outcomes.map((outcome) => [outcome.requestId, outcome.sentAtMs]));
    return this.engines.arrivals.filter(({ requestId, routerId, upstreamId }) => {
      const toldAtMs = this.engines.toldLeavingAtMs.get(`${routerId} ${upstreamId}`) ?? Infinity;
      return (sentAtMs.get(requestId) ?? 0) > toldAtMs + delayMs;
    }).length;
  }

  /** Largest number of arrivals at an engine from one router between some time after it asked for time and the end. */
  maxArrivalsDespiteRequestForTime(slackMs: number): number {
    const counts = this.engines.askedForTime.map(
      ({ routerId, upstreamId, atMs, untilMs }) =>
        this.engines.arrivals.filter(
          (arrival) =>
            arrival.routerId === routerId &&
            arrival.upstreamId === upstreamId &&
            arrival.atMs > atMs + slackMs &&
            arrival.atMs < untilMs,
        ).length,
    );
    return Math.max(0, ...counts);
  }

  private startRouter(index: number): void {
    const router = this.routers[index];
    if (router === undefined) {
      return;
    }
    const { context } = router;
    const store: QuarantineStore = {
      read: () =>
        this.call(router, () =>
          [...this.rows.values()].map(({ report, writtenAtMs }) =>
            ageReport(report, this.timeline.nowMs - writtenAtMs),
          ),
        ),
      write: async (report) =>
        (await this.call(router, () =>
          this.rows.set(report.partId, { report, writtenAtMs: this.timeline.nowMs }),
        )) !== undefined,
      remove: async (partId) =>
        (await this.call(router, () => {
          this.rows.delete(partId);
          return true;
        })) !== undefined,
    };
    context.loop.spawn('exchange', exchangeSuspects(context));
    requestSuspectResync(context);
    context.loop.spawn('start', readQuarantine(context, store));
    context.loop.spawn('store', storeQuarantine(context, store));
  }

  /** Resolves to undefined if a side is not there, or is cut off from the others. */
  private call<T>(from: SimulatedRouter, apply: () => T, to?: SimulatedRouter): Promise<T | undefined> {
    return new Promise((resolve) => {
      this.timeline.schedule(CALL_MS, () => {
        const isReached = from.alive && !from.cut && (to === undefined || (to.alive && !to.cut));
        const result = isReached ? apply() : undefined;
        this.timeline.schedule(CALL_MS, () => {
          resolve(result);
        });
      });
    });
  }

  private applyRegister({ board, options }: GatewayContext): void {
    const present = new Set(this.entries.map(({ upstreamId }) => upstreamId));
    for (const upstreamId of board.upstreams.keys()) {
      if (!present.has(upstreamId)) {
        board.upstreams.delete(upstreamId);
      }
    }
    for (const entry of this.entries) {
      if (!board.upstreams.has(entry.upstreamId)) {
        board.upstreams.set(entry.upstreamId, new UpstreamView(entry, options.placement));
      }
    }
  }

  private createContext(index: number): GatewayContext {
    const board = createBlackboard();
    board.configuration = CONFIGURATION;
    board.routeTable = new RouteTable(CONFIGURATION.routes);
    const failUnusedPort = (): never => {
      throw new Error('not used');
    };
    const context: GatewayContext = {
      board,
      loop: new TaskLoop(
        {
          nowMs: () => this.timeline.nowMs,
          startTimer: (delayMs, run) => this.timeline.schedule(delayMs, run),
        },
        (task, cause) => {
          throw new Error(`task ${task} failed`, { cause });
        },
      ),
      options: createOptions({ retryRatio: 0.2, retrySlack: 58 })._unsafeUnwrap(),
      self: {
        routerId: `router-${index}`,
        incarnationId: `router-${index}-1`,
        callerAddress: '',
        peerAddress: '',
        region: 'r',
        availabilityZone: 'z',
        ready: true,
      },
      ledgerStore: { commit: failUnusedPort },
      suspectPort: {
        exchange: (peer, message) => {
          this.exchangeCount += 1;
          const from = this.routers[index];
          const to = this.routers[Number(peer.routerId.split('-')[1])];
          return from === undefined || to === undefined
            ? Promise.resolve(undefined)
            : this.call(from, () => receiveSuspects(to.context, message, context.self.routerId), to);
        },
      },
      peerPort: { borrow: failUnusedPort, cancel: failUnusedPort, returnLoan: failUnusedPort },
      upstreamPort: {
        open: (upstream, request, attempt, report) =>
          this.engines.open(upstream, request, attempt, report, context.self.routerId),
        hasEnded: (upstream) => Promise.resolve(!this.engines.isListening(upstream.upstreamId)),
        watch: () => ({ state: WatchState.Unavailable, close: () => undefined }),
        removeUpstream: () => undefined,
      },
      log: () => undefined,
      metrics: new GatewayMetrics(),
      random: this.random,
      location: { availabilityZone: 'z', region: 'r', regionOf: () => 'r' },
      maxRouterCount: () => this.routers.length,
    };
    this.applyRegister(context);
    board.storeLastReplyAtMs = 0;
    for (let other = 0; other < this.routerCount; other += 1) {
      const entry = { ...context.self, routerId: `router-${other}` };
      board.routers.set(entry.routerId, { entry, changedAtMs: 0 });
    }
    return context;
  }
}
