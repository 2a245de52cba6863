import type { RandomSource } from '@pimentostall/core';
import { seededRandom } from '@pimentostall/core';
import { createBlackboard } from '../../blackboard.ts';
import { GatewayMetrics } from '../../observability/metrics.ts';
import { DEFAULT_OPTIONS } from '../../options.ts';
import type { RouterEntry, UpstreamEntry } from '../../types.ts';
import { UpstreamState } from '../../types.ts';
import { chooseUpstream } from '../chooseUpstream.ts';
import { EntryArrival } from '../coldEnd.ts';
import type { ColdFilterContext } from '../coldUpstreams.ts';
import {
  beginColdAttempt,
  carryColdEnd,
  ColdFilter,
  recordEntryReading,
  recordResponse,
  recordUnresponsive,
} from '../coldUpstreams.ts';
import { DEFAULT_PLACEMENT } from '../options.ts';
import { UpstreamView } from '../upstreamView.ts';

export const WARMUP_MS = 3_000;
export const REQUESTS_PER_SECOND = 6.9;
export const COLD_BOUND = { overshoot: 1.5, slack: 5 };
/** Bound of the requests that a cold engine may get in any one second. */
export const MAX_REQUESTS_PER_WINDOW = REQUESTS_PER_SECOND * COLD_BOUND.overshoot + COLD_BOUND.slack;

/** Time of a message that TCP sends again. */
export const LONGEST_LINK_MS = 60;

const SERVICE = 'assistant';
const CONNECT_TIMEOUT_MS = 400;
const HEARTBEAT_MS = 1_000;
const READ_PERIOD_MS = 600;
const ZONES = ['a', 'b', 'c'];

export interface SimulatedRouter {
  readonly context: ColdFilterContext;
  readonly entry: RouterEntry;
  /** Routers see each other's rows only within a group. */
  group: number;
  storeReachable: boolean;
  running: boolean;
  /** Time of its newest heartbeat that the store has. */
  writtenAtMs: number;
}

export interface Arrival {
  readonly atMs: number;
  readonly routerId: string;
}

interface FleetOptions {
  readonly routerCount?: number;
  readonly engineCount?: number;
  readonly requestsPerSecond?: number;
  readonly seed?: number;
}

/**
 * Routers that place requests at engines, with the delays of connections, links, heartbeats and readings, in simulated
 * time. The rows of the routers and of the engines are all that they share.
 */
export class ColdFleet {
  nowMs = 0;
  readonly routers: SimulatedRouter[] = [];
  readonly arrivals = new Map<string, Arrival[]>();
  /** Times at which requests were refused. */
  readonly refusals: { readonly atMs: number; readonly retryInMs: number | undefined }[] = [];
  placedCount = 0;
  private readonly engines = new Map<string, UpstreamEntry>();
  private readonly rowVersions = new Map<string, number>();
  private readonly events = new Map<number, (() => void)[]>();
  private readonly random: RandomSource;
  private readonly requestsPerSecond: number;
  private requestDebt = 0;
  /** Ids of the engines to which connections cannot be opened. */
  readonly darkEngineIds = new Set<string>();

  constructor({ routerCount = 60, engineCount = 30, requestsPerSecond = 600, seed = 1 }: FleetOptions = {}) {
    this.random = seededRandom(seed);
    this.requestsPerSecond = requestsPerSecond;
    for (let index = 0; index < engineCount; index += 1) {
      const upstreamId = `engine-${index}`;
      this.arrivals.set(upstreamId, []);
      this.engines.set(upstreamId, {
        upstreamId,
        serviceName: SERVICE,
        address: '127.0.0.1:1',
        availabilityZone: ZONES[index % ZONES.length] ?? 'a',
        state: UpstreamState.Ready,
        slots: 64,
        warmupLeftMs: 0,
        startTimeMs: -1_000_000,
        sequence: undefined,
      });
    }
    for (let index = 0; index < routerCount; index += 1) {
      this.startRouter();
    }
  }

  engineIdsOfZone(zone: string): string[] {
    return [...this.engines.values()]
      .filter(({ availabilityZone }) => availabilityZone === zone)
      .map(({ upstreamId }) => upstreamId);
  }

  /** Starts a router, which reads the tables at once. */
  startRouter(): SimulatedRouter {
    const index = this.routers.length;
    const routerId = `router-${index}`;
    const availabilityZone = ZONES[index % ZONES.length] ?? 'a';
    const board = createBlackboard();
    board.configuration = {
      version: 1,
      routes: [],
      services: new Map([
        [
          SERVICE,
          {
            name: SERVICE,
            maxConnections: 400,
            engine: undefined,
            warmup: { durationMs: WARMUP_MS, requestsPerSecond: REQUESTS_PER_SECOND },
          },
        ],
      ]),
      organisations: new Map(),
      requiresKeys: false,
      limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    };
    const router: SimulatedRouter = {
      context: {
        board,
        loop: { nowMs: () => this.nowMs },
        options: { ...DEFAULT_OPTIONS, coldBound: COLD_BOUND },
        self: { routerId },
        log: () => undefined,
        metrics: new GatewayMetrics(),
      },
      entry: {
        routerId,
        incarnationId: routerId,
        callerAddress: '',
        peerAddress: '',
        region: 'x',
        availabilityZone,
        ready: true,
      },
      group: 0,
      storeReachable: true,
      running: true,
      writtenAtMs: this.nowMs,
    };
    this.routers.push(router);
    for (const { upstreamId } of this.engines.values()) {
      this.readEngine(router, upstreamId);
    }
    this.beat(router);
    this.schedule(this.random() * READ_PERIOD_MS, () => {
      this.readRouters(router);
    });
    return router;
  }

  /** Lets an engine start again: the routers read its new row after up to `maxLagMs`. */
  restartEngine(upstreamId: string, maxLagMs: number): void {
    const engine = this.engines.get(upstreamId);
    if (engine === undefined) {
      throw new Error(`no engine ${upstreamId}`);
    }
    this.engines.set(upstreamId, { ...engine, warmupLeftMs: WARMUP_MS, startTimeMs: this.nowMs });
    this.rowVersions.set(upstreamId, (this.rowVersions.get(upstreamId) ?? 0) + 1);
    for (const router of this.routers) {
      this.schedule(this.random() * maxLagMs, () => {
        if (router.running && router.storeReachable) {
          this.readEngine(router, upstreamId);
        }
      });
    }
  }

  advance(durationMs: number): void {
    for (const endMs = this.nowMs + durationMs; this.nowMs < endMs; this.nowMs += 1) {
      const due = this.events.get(this.nowMs) ?? [];
      this.events.delete(this.nowMs);
      for (const run of due) {
        run();
      }
      for (this.requestDebt += this.requestsPerSecond / 1_000; this.requestDebt >= 1; this.requestDebt -= 1) {
        this.sendRequest();
      }
    }
  }

  /** Returns the largest number of requests that arrived at an engine in any one second of a span of time. */
  maxRequestsPerWindow(upstreamId: string, fromMs: number, untilMs: number): number {
    const times = this.arrivalsOf(upstreamId, fromMs, untilMs).map(({ atMs }) => atMs);
    return Math.max(
      0,
      ...times.map((startMs) => times.filter((atMs) => atMs >= startMs && atMs < startMs + 1_000).length),
    );
  }

  arrivalsOf(upstreamId: string, fromMs: number, untilMs: number): Arrival[] {
    return (this.arrivals.get(upstreamId) ?? [])
      .filter(({ atMs }) => atMs >= fromMs && atMs < untilMs)
      .sort((a, b) => a.atMs - b.atMs);
  }

  private schedule(delayMs: number, run: () => void): void {
    const atMs = this.nowMs + Math.max(1, Math.round(delayMs));
    const existing = this.events.get(atMs);
    if (existing === undefined) {
      this.events.set(atMs, [run]);
    } else {
      existing.push(run);
    }
  }

  private beat(router: SimulatedRouter): void {
    if (!router.running) {
      return;
    }
    if (router.storeReachable) {
      router.writtenAtMs = this.nowMs;
    }
    this.schedule(HEARTBEAT_MS, () => {
      this.beat(router);
    });
  }

  private readRouters(router: SimulatedRouter): void {
    if (!router.running) {
      return;
    }
    const { board } = router.context;
    if (router.storeReachable) {
      if (board.storeLastReplyAtMs !== undefined && this.nowMs - board.storeLastReplyAtMs >= 1_000) {
        board.storeRecoveredAtMs = this.nowMs;
      }
      for (const other of this.routers) {
        const known = board.routers.get(other.entry.routerId);
        if (other.group === router.group && other.writtenAtMs > (known?.changedAtMs ?? -1)) {
          board.routers.set(other.entry.routerId, { entry: other.entry, changedAtMs: this.nowMs });
        }
      }
      board.storeLastReplyAtMs = this.nowMs;
      board.membershipReads.firstAtMs ??= this.nowMs;
      board.membershipReads.lastAtMs = this.nowMs;
    }
    this.schedule(READ_PERIOD_MS, () => {
      this.readRouters(router);
    });
  }

  private readEngine({ context }: SimulatedRouter, upstreamId: string): void {
    const entry = this.engines.get(upstreamId);
    if (entry === undefined) {
      return;
    }
    const { board } = context;
    const current = board.upstreams.get(upstreamId);
    if (current !== undefined) {
      carryColdEnd(context, current);
    }
    const view = new UpstreamView(entry, DEFAULT_PLACEMENT);
    board.upstreams.set(upstreamId, view);
    current?.withdrawUnsentAttempts();
    recordEntryReading(context, view, {
      arrival: current === undefined ? EntryArrival.FirstReading : EntryArrival.Appearance,
      version: this.rowVersions.get(upstreamId) ?? 0,
      wallNowMs: this.nowMs,
    });
  }

  private sendRequest(attemptsLeft = 3): void {
    const running = this.routers.filter((router) => router.running);
    const router = running[Math.floor(this.random() * running.length)];
    if (router === undefined) {
      return;
    }
    const { context, entry } = router;
    const cold = new ColdFilter(context);
    const placement = chooseUpstream(
      {
        serviceName: SERVICE,
        promptParts: [
          { partId: `part-${Math.floor(100 * this.random())}`, tokens: 400 },
          { partId: 'own', tokens: 100 },
        ],
        promptTokens: 500,
        excluded: new Set(),
        spreadKey: undefined,
        isWithheld: (view) => cold.isWithheld(view),
      },
      context.board.upstreams.values(),
      { availabilityZone: entry.availabilityZone, region: 'x', regionOf: () => 'x' },
      this.nowMs,
      DEFAULT_PLACEMENT,
    );
    if (placement === undefined) {
      const { nextAllowanceAtMs } = cold;
      const retryInMs = nextAllowanceAtMs === undefined ? undefined : nextAllowanceAtMs - this.nowMs;
      this.refusals.push({ atMs: this.nowMs, retryInMs });
      return;
    }
    this.placedCount += 1;
    const { upstream } = placement;
    const attempt = beginColdAttempt(context, upstream);
    upstream.inFlight += 1;
    // Some requests wait for a new connection; some messages are sent again by TCP.
    const connectMs = this.random() < 0.1 ? 20 + 200 * this.random() : 0;
    const linkMs = this.random() < 0.02 ? LONGEST_LINK_MS : 1 + 7 * this.random();
    const withdraw = (): void => {
      isWithdrawn = true;
    };
    let isWithdrawn = false;
    upstream.unsentAttempts.add(withdraw);
    this.schedule(connectMs, () => {
      upstream.unsentAttempts.delete(withdraw);
      if (isWithdrawn) {
        upstream.inFlight -= 1;
        attempt?.end();
        this.sendRequest();
        return;
      }
      if (this.darkEngineIds.has(upstream.entry.upstreamId)) {
        this.schedule(CONNECT_TIMEOUT_MS, () => {
          upstream.inFlight -= 1;
          attempt?.end();
          upstream.recordFailure(this.nowMs);
          recordUnresponsive(context, upstream);
          if (attemptsLeft > 1) {
            this.sendRequest(attemptsLeft - 1);
          }
        });
        return;
      }
      attempt?.recordSent();
      this.schedule(linkMs, () => {
        const { upstreamId } = upstream.entry;
        this.arrivals.get(upstreamId)?.push({ atMs: this.nowMs, routerId: entry.routerId });
      });
      this.schedule(linkMs + 100 + 200 * this.random(), () => {
        attempt?.end();
        upstream.lastProgressAtMs = this.nowMs;
        recordResponse(context, upstream);
      });
      this.schedule(linkMs + 1_500, () => {
        upstream.inFlight -= 1;
      });
    });
  }
}
