import type { RandomSource } from '@pimentostall/core';
import { seededRandom } from '@pimentostall/core';
import { EventQueue } from '../../engineLoad/__tests__/eventQueue.ts';
import type { SiteDemand } from '../../engineLoad/__tests__/simulatedSite.ts';
import { regionOf, ZONES } from '../../engineLoad/__tests__/simulatedSite.ts';
import { UpstreamState } from '../../types.ts';
import { chooseUpstream } from '../chooseUpstream.ts';
import type { ZoneSpillState } from '../createReach.ts';
import { createReach, createZoneSpillState, getOrCreateService } from '../createReach.ts';
import { DEFAULT_PLACEMENT } from '../options.ts';
import { UpstreamView } from '../upstreamView.ts';
import { DEFAULT_ZONE_SPILL } from '../zoneSpill.ts';
import { oneWayMs, STEADY } from './spillSite.ts';

const SERVICE = 'plain';
const SLOTS = 6;
/** Requests that an instance queues; further ones are turned away. */
const QUEUE_LENGTH = 24;
const MAX_ATTEMPTS = 3;
/** Time until a request to a zone that is gone fails. */
const FAILURE_AFTER_MS = 50;
const BODY_BYTES = 2_000;

export interface PlainSiteOptions {
  readonly isSpilling: boolean;
  readonly seed: number;
  readonly routersPerZone: number;
  readonly requestsPerSecond: number;
  readonly meanWorkMs: number;
  readonly demand: SiteDemand;
  readonly oneWayMs: (fromZone: string, toZone: string, nowMs: number) => number;
}

export const DEFAULT_PLAIN_SITE: PlainSiteOptions = {
  isSpilling: false,
  seed: 1,
  routersPerZone: 4,
  requestsPerSecond: 900,
  meanWorkMs: 20,
  demand: STEADY,
  oneWayMs,
};

/** An instance of a plain service with a few slots and a bounded queue. */
class PlainInstance {
  isGone = false;
  private busySlots = 0;
  private readonly queue: (() => void)[] = [];

  constructor(
    private readonly events: EventQueue,
    private readonly random: RandomSource,
    private readonly meanWorkMs: number,
  ) {}

  /** @param onEnd called with false if the instance turned the request away */
  receive(onEnd: (isServed: boolean) => void): void {
    if (this.isGone) {
      this.events.schedule(FAILURE_AFTER_MS, () => {
        onEnd(false);
      });
    } else if (this.busySlots < SLOTS) {
      this.start(onEnd);
    } else if (this.queue.length < QUEUE_LENGTH) {
      this.queue.push(() => {
        this.start(onEnd);
      });
    } else {
      onEnd(false);
    }
  }

  private start(onEnd: (isServed: boolean) => void): void {
    this.busySlots += 1;
    this.events.schedule(-Math.log(1 - this.random()) * this.meanWorkMs, () => {
      this.busySlots -= 1;
      onEnd(!this.isGone);
      this.queue.shift()?.();
    });
  }
}

interface PlainRouter {
  readonly zone: string;
  readonly views: ReadonlyMap<string, UpstreamView>;
  readonly spill: ZoneSpillState;
}

export interface PlainResponse {
  readonly sentAtMs: number;
  readonly afterMs: number;
  readonly fromZone: string;
  readonly toZone: string;
}

/** Routers in front of a plain service that has one instance in each zone. */
export class PlainSite {
  readonly events = new EventQueue();
  readonly instances = new Map<string, PlainInstance>();
  readonly routers: PlainRouter[] = [];
  readonly responses: PlainResponse[] = [];
  readonly failedAtMs: number[] = [];
  readonly options: PlainSiteOptions;
  private readonly random: RandomSource;
  private requestCount = 0;

  constructor(options: Partial<PlainSiteOptions> = {}) {
    this.options = { ...DEFAULT_PLAIN_SITE, ...options };
    this.random = seededRandom(this.options.seed);
    for (const zone of ZONES) {
      this.instances.set(zone, new PlainInstance(this.events, this.random, this.options.meanWorkMs));
    }
    for (const zone of ZONES) {
      for (let index = 0; index < this.options.routersPerZone; index += 1) {
        this.routers.push({ zone, views: createViews(), spill: createZoneSpillState() });
      }
    }
    this.scheduleArrival();
  }

  /** Mean fraction of the routers of a zone, for the other zones of the region. */
  meanFraction(zone: string): number {
    const routers = this.routers.filter((router) => router.zone === zone);
    const sum = routers.reduce(
      (total, { spill }) => total + (spill.services.get(SERVICE)?.otherZonesFraction ?? 0),
      0,
    );
    return sum / routers.length;
  }

  private scheduleArrival(): void {
    const { demand, requestsPerSecond } = this.options;
    const rate = requestsPerSecond * demand.rateFactor(this.events.nowMs);
    this.events.schedule((-Math.log(1 - this.random()) * 1_000) / rate, () => {
      this.scheduleArrival();
      const zone = demand.zoneOf(this.events.nowMs, this.random());
      const routers = this.routers.filter((router) => router.zone === zone);
      const router = routers[Math.floor(this.random() * routers.length)];
      if (router !== undefined) {
        this.requestCount += 1;
        this.send(router, `request-${this.requestCount}`, this.events.nowMs, new Set());
      }
    });
  }

  private send(router: PlainRouter, requestKey: string, arrivedAtMs: number, tried: Set<string>): void {
    const { events } = this;
    const view = this.place(router, requestKey, tried);
    if (view === undefined || tried.size >= MAX_ATTEMPTS) {
      this.failedAtMs.push(arrivedAtMs);
      return;
    }
    const { availabilityZone: zone, upstreamId } = view.entry;
    const placedAtMs = events.nowMs;
    tried.add(upstreamId);
    view.inFlight += 1;
    events.schedule(this.delayMs(router.zone, zone), () => {
      this.instances.get(zone)?.receive((isServed) => {
        events.schedule(this.delayMs(zone, router.zone), () => {
          view.inFlight -= 1;
          if (!isServed) {
            view.recordFailure(events.nowMs);
            this.send(router, requestKey, arrivedAtMs, tried);
            return;
          }
          view.recordSuccess();
          getOrCreateService(router.spill, SERVICE, DEFAULT_ZONE_SPILL).recordResponse(
            zone,
            events.nowMs - placedAtMs,
            events.nowMs,
          );
          this.responses.push({
            sentAtMs: arrivedAtMs,
            afterMs: events.nowMs - arrivedAtMs,
            fromZone: router.zone,
            toZone: zone,
          });
        });
      });
    });
  }

  private delayMs(fromZone: string, toZone: string): number {
    return this.options.oneWayMs(fromZone, toZone, this.events.nowMs) + 2 * this.random();
  }

  private place(
    router: PlainRouter,
    requestKey: string,
    tried: ReadonlySet<string>,
  ): UpstreamView | undefined {
    const location = { availabilityZone: router.zone, region: regionOf(router.zone), regionOf };
    const { nowMs } = this.events;
    if (this.options.isSpilling) {
      for (const zone of ZONES) {
        router.spill.distances.recordConnection(
          zone,
          2 * this.options.oneWayMs(router.zone, zone, nowMs),
          nowMs,
        );
      }
    }
    const reach = createReach({
      state: router.spill,
      serviceName: SERVICE,
      requestKey,
      bodyBytes: BODY_BYTES,
      isRetry: tried.size > 0,
      sharesLoads: false,
      routerCount: this.routers.length,
      location,
      placement: DEFAULT_PLACEMENT,
      spill: DEFAULT_ZONE_SPILL,
      nowMs,
      onChange: () => undefined,
    });
    return chooseUpstream(
      {
        serviceName: SERVICE,
        promptParts: [],
        promptTokens: 0,
        excluded: tried,
        spreadKey: undefined,
        reach: this.options.isSpilling ? reach : undefined,
      },
      router.views.values(),
      location,
      nowMs,
      DEFAULT_PLACEMENT,
    )?.upstream;
  }
}

function createViews(): Map<string, UpstreamView> {
  return new Map(
    ZONES.map((zone) => [
      zone,
      new UpstreamView(
        {
          upstreamId: `plain-${zone}`,
          serviceName: SERVICE,
          address: `${zone}:80`,
          availabilityZone: zone,
          state: UpstreamState.Ready,
          slots: SLOTS,
          warmupLeftMs: 0,
          startTimeMs: 1,
          sequence: undefined,
        },
        DEFAULT_PLACEMENT,
      ),
    ]),
  );
}

export interface PlainSummary {
  readonly medianMs: number;
  readonly p90Ms: number;
  readonly meanMs: number;
  readonly failed: number;
  /** Fractions of the requests. */
  readonly otherZone: number;
  readonly otherRegion: number;
}

export function summarisePlain(site: PlainSite, sinceMs: number, untilMs = Infinity): PlainSummary {
  const responses = site.responses.filter(({ sentAtMs }) => sentAtMs >= sinceMs && sentAtMs < untilMs);
  const timesMs = responses.map(({ afterMs }) => afterMs).sort((a, b) => a - b);
  const quantile = (fraction: number): number =>
    Math.round(timesMs[Math.floor(timesMs.length * fraction)] ?? 0);
  const fraction = (isCounted: (response: PlainResponse) => boolean): number =>
    responses.filter(isCounted).length / responses.length;
  return {
    medianMs: quantile(0.5),
    p90Ms: quantile(0.9),
    meanMs: Math.round(timesMs.reduce((sum, ms) => sum + ms, 0) / timesMs.length),
    failed: site.failedAtMs.filter((atMs) => atMs >= sinceMs && atMs < untilMs).length,
    otherZone: fraction(
      ({ fromZone, toZone }) => fromZone !== toZone && regionOf(fromZone) === regionOf(toZone),
    ),
    otherRegion: fraction(({ fromZone, toZone }) => regionOf(fromZone) !== regionOf(toZone)),
  };
}
