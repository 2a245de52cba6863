import type { RandomSource } from '@pimentostall/core';
import { isAmongFirst, seededRandom } from '@pimentostall/core';
import { createBlackboard } from '../../blackboard.ts';
import type { GatewayBlackboard } from '../../blackboard.ts';
import { cacheFollowerCount } from '../../placement/cacheFollowers.ts';
import type { CacheChange } from '../../placement/cacheView.ts';
import type { Placement } from '../../placement/chooseUpstream.ts';
import { chooseUpstream } from '../../placement/chooseUpstream.ts';
import type { RequestReach } from '../../placement/requestReach.ts';
import type { PlacementOptions } from '../../placement/options.ts';
import { DEFAULT_PLACEMENT } from '../../placement/options.ts';
import { UpstreamView } from '../../placement/upstreamView.ts';
import type { RouterEntry, UpstreamEntry } from '../../types.ts';
import { UpstreamState } from '../../types.ts';
import { EventQueue } from './eventQueue.ts';
import type { SimulatedPrompt } from './promptLoad.ts';
import { PromptSource } from './promptLoad.ts';

export const SERVICE = 'engines';
export const ZONES = ['a1', 'a2', 'a3', 'b1', 'b2', 'b3'];
const REQUESTS_PER_SECOND = 220;
/** Shared tokens that the cache of an engine holds. */
const CACHE_TOKENS = 300_000;
const CACHE_PAGE_PERIOD_MS = 1_000;
const EVENT_INTERVAL_MS = 25;
const MAX_EVENTS = 43;

/** What placement knows of the load that other routers put on the engines. */
export enum Knowledge {
  /** Nothing: each router counts its own requests. */
  Own = 'own',
  /** The messages of the exchange. */
  Exchanged = 'exchanged',
  /** The sums of all routers at the time of the placement. */
  ExactSums = 'exact-sums',
  /** The remaining time of the queue and the cache of each engine, as the engine itself knows them. */
  Oracle = 'oracle',
}

export interface SiteOptions {
  readonly knowledge: Knowledge;
  readonly seed: number;
  readonly routerCount: number;
  readonly engineCount: number;
  readonly requestsPerSecond: number;
  /** Exponent of the popularity of shared parts; 0 for equally popular ones. */
  readonly skew: number;
  /** Shared parts of each kind of prompt; undefined for the number of docs/design/work-plan.md. */
  readonly partsPerClass: number | undefined;
  readonly cacheTokens: number;
  readonly placement: PlacementOptions;
  /** One-way latency between zones; random within a region if undefined. */
  readonly oneWayMs?: ((fromZone: string, toZone: string, nowMs: number) => number) | undefined;
  /** Factor of the requests per second, and the router of a request; both constant if undefined. */
  readonly demand?: SiteDemand | undefined;
  /** Reach of a request; distance has a constant cost if undefined. */
  readonly reachOf?: ((router: SimulatedRouter, prompt: SimulatedPrompt) => RequestReach) | undefined;
}

export interface SiteDemand {
  rateFactor(nowMs: number): number;
  /** @param drawn random number below 1 */
  zoneOf(nowMs: number, drawn: number): string;
}

export const DEFAULT_SITE: SiteOptions = {
  knowledge: Knowledge.Own,
  seed: 1,
  routerCount: 58,
  engineCount: 63,
  requestsPerSecond: REQUESTS_PER_SECOND,
  skew: 0.9,
  partsPerClass: undefined,
  cacheTokens: CACHE_TOKENS,
  placement: DEFAULT_PLACEMENT,
};

interface QueuedPrompt {
  readonly prompt: SimulatedPrompt;
  readonly onFirstEvent: () => void;
}

export class SimulatedEngine {
  readonly cache = new Map<string, number>();
  readonly cacheLog: CacheChange[] = [];
  alive = true;
  busyMs = 0;
  private cachedTokens = 0;
  private readonly queue: QueuedPrompt[] = [];
  private current: QueuedPrompt | undefined;
  private currentEndsAtMs = 0;

  constructor(
    readonly entry: UpstreamEntry,
    private readonly events: EventQueue,
    private readonly options: SiteOptions,
  ) {}

  receive(prompt: SimulatedPrompt, onFirstEvent: () => void): void {
    if (this.alive) {
      this.queue.push({ prompt, onFirstEvent });
      this.startNext();
    }
  }

  /** Time until a prompt that arrives now is prefilled. */
  waitMs(): number {
    const running = this.current === undefined ? 0 : Math.max(0, this.currentEndsAtMs - this.events.nowMs);
    return this.queue.reduce((sum, { prompt }) => sum + this.prefillMs(prompt), running);
  }

  private prefillMs({ parts, promptTokens }: SimulatedPrompt): number {
    const cachedTokens = this.cache.get(parts[0].partId) ?? 0;
    return (promptTokens - cachedTokens) / this.options.placement.prefillTokensPerMs;
  }

  private startNext(): void {
    if (this.current !== undefined) {
      return;
    }
    const next = this.queue.shift();
    if (next === undefined) {
      return;
    }
    this.current = next;
    const durationMs = this.prefillMs(next.prompt);
    this.busyMs += durationMs;
    this.currentEndsAtMs = this.events.nowMs + durationMs;
    this.events.schedule(durationMs, () => {
      this.current = undefined;
      if (this.alive) {
        this.keep(next.prompt.parts[0].partId, next.prompt.parts[0].tokens);
        next.onFirstEvent();
        this.startNext();
      }
    });
  }

  private keep(partId: string, tokens: number): void {
    if (this.cache.delete(partId)) {
      this.cache.set(partId, tokens);
      return;
    }
    this.cache.set(partId, tokens);
    this.cachedTokens += tokens;
    this.cacheLog.push({ partId, cachedTokens: tokens });
    for (const [oldest, oldestTokens] of this.cache) {
      if (this.cachedTokens <= this.options.cacheTokens) {
        break;
      }
      this.cache.delete(oldest);
      this.cachedTokens -= oldestTokens;
      this.cacheLog.push({ partId: oldest, cachedTokens: 0 });
    }
  }
}

export interface SimulatedRouter {
  readonly self: RouterEntry;
  readonly board: GatewayBlackboard;
  /** Called after the counts of a view have changed. */
  onChange: (view: UpstreamView, changedTokens: number) => void;
}

export interface FirstEvent {
  readonly sentAtMs: number;
  readonly afterMs: number;
  readonly classIndex: number;
  readonly promptTokens: number;
  readonly fromZone: string;
  readonly toZone: string;
}

/** Routers and engines under the load of part 6 of docs/design/work-plan.md, without the rest of a router. */
export class SimulatedSite {
  readonly events = new EventQueue();
  readonly routers: SimulatedRouter[] = [];
  readonly engines: SimulatedEngine[] = [];
  readonly firstEvents: FirstEvent[] = [];
  readonly random: RandomSource;
  readonly options: SiteOptions;
  private readonly prompts: PromptSource;
  private readonly enginesById = new Map<string, SimulatedEngine>();

  constructor(options: Partial<SiteOptions> = {}) {
    this.options = { ...DEFAULT_SITE, ...options };
    const { seed, skew, partsPerClass, routerCount, engineCount } = this.options;
    this.random = seededRandom(seed);
    this.prompts = new PromptSource(seededRandom(seed + 1), skew, partsPerClass);
    for (let index = 0; index < engineCount; index += 1) {
      this.addEngine(`engine-${index}`, ZONES[index % ZONES.length] ?? '');
    }
    for (let index = 0; index < routerCount; index += 1) {
      this.addRouter(index);
    }
    for (const router of this.routers) {
      for (const { self } of this.routers) {
        router.board.routers.set(self.routerId, { entry: self, changedAtMs: 0 });
      }
    }
    this.followCaches();
    this.scheduleArrival();
  }

  /** One-way delay of a message, with the lateness of the receiver's event loop. */
  delayMs(fromZone: string, toZone: string): number {
    const networkMs =
      this.options.oneWayMs?.(fromZone, toZone, this.events.nowMs) ??
      (fromZone === toZone ? 0.5 : regionOf(fromZone) === regionOf(toZone) ? 0.5 + 3.5 * this.random() : 8);
    const lateMs = this.random() < 0.2 ? 30 * this.random() : 2 * this.random();
    return networkMs + lateMs;
  }

  private addEngine(upstreamId: string, availabilityZone: string): void {
    const engine = new SimulatedEngine(
      {
        upstreamId,
        serviceName: SERVICE,
        address: `${upstreamId}:80`,
        availabilityZone,
        state: UpstreamState.Ready,
        slots: 64,
        warmupLeftMs: 0,
        startTimeMs: 1,
        sequence: undefined,
      },
      this.events,
      this.options,
    );
    this.engines.push(engine);
    this.enginesById.set(upstreamId, engine);
  }

  private addRouter(index: number): void {
    const availabilityZone = ZONES[index % ZONES.length] ?? '';
    const board = createBlackboard();
    board.storeLastReplyAtMs = 0;
    for (const { entry } of this.engines) {
      board.upstreams.set(entry.upstreamId, new UpstreamView(entry, this.options.placement));
    }
    const routerId = `router-${index}`;
    this.routers.push({
      self: {
        routerId,
        incarnationId: `${routerId}-1`,
        callerAddress: '',
        peerAddress: routerId,
        region: regionOf(availabilityZone),
        availabilityZone,
        ready: true,
      },
      board,
      onChange: () => undefined,
    });
  }

  private scheduleArrival(): void {
    const { demand, requestsPerSecond } = this.options;
    const rate = requestsPerSecond * (demand?.rateFactor(this.events.nowMs) ?? 1);
    const pauseMs = (-Math.log(1 - this.random()) * 1_000) / rate;
    this.events.schedule(pauseMs, () => {
      this.scheduleArrival();
      const router = this.drawRouter();
      if (router !== undefined) {
        this.send(router, this.prompts.next());
      }
    });
  }

  private drawRouter(): SimulatedRouter | undefined {
    const zone = this.options.demand?.zoneOf(this.events.nowMs, this.random());
    const routers =
      zone === undefined ? this.routers : this.routers.filter(({ self }) => self.availabilityZone === zone);
    return routers[Math.floor(this.random() * routers.length)];
  }

  private send(router: SimulatedRouter, prompt: SimulatedPrompt): void {
    const { events } = this;
    const sentAtMs = events.nowMs;
    const placement = this.place(router, prompt);
    if (placement === undefined) {
      return;
    }
    const { upstream, uncachedTokens } = placement;
    const engine = this.enginesById.get(upstream.entry.upstreamId);
    const zone = router.self.availabilityZone;
    upstream.inFlight += 1;
    upstream.pendingPrefillTokens += uncachedTokens;
    router.onChange(upstream, uncachedTokens);
    events.schedule(this.delayMs(zone, upstream.entry.availabilityZone), () => {
      engine?.receive(prompt, () => {
        events.schedule(this.delayMs(upstream.entry.availabilityZone, zone), () => {
          const { classIndex, promptTokens } = prompt;
          this.firstEvents.push({
            sentAtMs,
            afterMs: events.nowMs - sentAtMs,
            classIndex,
            promptTokens,
            fromZone: zone,
            toZone: upstream.entry.availabilityZone,
          });
          upstream.pendingPrefillTokens -= uncachedTokens;
          upstream.recordSentParts(prompt.parts, events.nowMs);
          router.onChange(upstream, uncachedTokens);
          events.schedule(EVENT_INTERVAL_MS * MAX_EVENTS * this.random(), () => {
            upstream.inFlight -= 1;
            router.onChange(upstream, 0);
          });
        });
      });
    });
  }

  private place(router: SimulatedRouter, prompt: SimulatedPrompt): Placement | undefined {
    const { board, self } = router;
    const { nowMs } = this.events;
    const { knowledge, placement } = this.options;
    const location = { availabilityZone: self.availabilityZone, region: self.region, regionOf };
    if (knowledge === Knowledge.ExactSums) {
      this.setExactSums(router);
    }
    if (knowledge === Knowledge.Oracle) {
      return this.placeByOracle(router, prompt);
    }
    return chooseUpstream(
      {
        serviceName: SERVICE,
        promptParts: prompt.parts,
        promptTokens: prompt.promptTokens,
        excluded: new Set(),
        spreadKey: undefined,
        tieKey: knowledge === Knowledge.Exchanged ? prompt.parts[1].partId : undefined,
        reach: this.options.reachOf?.(router, prompt),
      },
      board.upstreams.values(),
      location,
      nowMs,
      placement,
    );
  }

  private setExactSums(router: SimulatedRouter): void {
    for (const [upstreamId, view] of router.board.upstreams) {
      let tokens = 0;
      let requests = 0;
      for (const other of this.routers) {
        const otherView = other === router ? undefined : other.board.upstreams.get(upstreamId);
        tokens += otherView?.pendingPrefillTokens ?? 0;
        requests += otherView?.inFlight ?? 0;
      }
      view.remoteLoad.set(tokens, requests, this.events.nowMs, Infinity);
    }
  }

  private placeByOracle({ board, self }: SimulatedRouter, prompt: SimulatedPrompt): Placement | undefined {
    let best: Placement | undefined;
    for (const engine of this.engines) {
      const upstream = board.upstreams.get(engine.entry.upstreamId);
      const cachedTokens = engine.cache.get(prompt.parts[0].partId) ?? 0;
      const uncachedTokens = prompt.promptTokens - cachedTokens;
      const zone = engine.entry.availabilityZone;
      const distanceMs = zone === self.availabilityZone ? 0 : regionOf(zone) === self.region ? 2 : 25;
      const costMs =
        engine.waitMs() + uncachedTokens / this.options.placement.prefillTokensPerMs + distanceMs;
      if (upstream !== undefined && (best === undefined || costMs < best.costMs)) {
        best = { upstream, costMs, uncachedTokens };
      }
    }
    return best;
  }

  /** Each engine's cache events reach a few routers a second later, as in a large fleet. */
  private followCaches(): void {
    const { routerCount, engineCount } = this.options;
    const count = cacheFollowerCount({ maxCacheFollowers: 8, routerCount, engineCount, isLargeFleet: true });
    const routerIds = this.routers.map(({ self }) => self.routerId);
    for (const engine of this.engines) {
      for (const { self, board } of this.routers) {
        if (isAmongFirst(engine.entry.upstreamId, self.routerId, routerIds, count)) {
          let read = 0;
          const follow = (): void => {
            board.upstreams.get(engine.entry.upstreamId)?.cache.apply(engine.cacheLog.slice(read));
            read = engine.cacheLog.length;
            this.events.schedule(CACHE_PAGE_PERIOD_MS, follow);
          };
          this.events.schedule(CACHE_PAGE_PERIOD_MS * this.random(), follow);
        }
      }
    }
  }
}

export function regionOf(zone: string): string {
  return zone.slice(0, 1);
}

export interface LatencySummary {
  readonly count: number;
  readonly medianMs: number;
  readonly p90Ms: number;
  readonly meanMs: number;
  /** Fraction of the first events within 827 ms, the target of the largest kind of prompt. */
  readonly withinTarget: number;
}

/** Summarises the times to the first event of one kind of prompt; of all if it is undefined. */
export function summarise(site: SimulatedSite, sinceMs: number, classIndex?: number): LatencySummary {
  const timesMs = site.firstEvents
    .filter((event) => event.sentAtMs >= sinceMs && (classIndex ?? event.classIndex) === event.classIndex)
    .map(({ afterMs }) => afterMs)
    .sort((a, b) => a - b);
  const quantile = (fraction: number): number =>
    Math.round(timesMs[Math.floor(timesMs.length * fraction)] ?? 0);
  return {
    count: timesMs.length,
    medianMs: quantile(0.5),
    p90Ms: quantile(0.9),
    meanMs: Math.round(timesMs.reduce((sum, ms) => sum + ms, 0) / timesMs.length),
    withinTarget: timesMs.filter((ms) => ms <= 827).length / timesMs.length,
  };
}
