import type { SiteDemand, SiteOptions } from '../../engineLoad/__tests__/simulatedSite.ts';
import { Knowledge, regionOf, SimulatedSite, ZONES } from '../../engineLoad/__tests__/simulatedSite.ts';
import { SimulatedExchange } from '../../engineLoad/__tests__/simulatedExchange.ts';
import { createReach, createZoneSpillState } from '../createReach.ts';
import { DEFAULT_PLACEMENT } from '../options.ts';
import { DEFAULT_ZONE_SPILL } from '../zoneSpill.ts';

/** Latency within a zone, to the other zones of a region by their position, and to the other region. */
const OWN_ZONE_MS = 0.5;
const OTHER_ZONES_MS = [0.5, 1.5, 3.9];
export const REGION_MS = 8;

/** Symmetric one-way latencies within the limits of docs/design/work-plan.md. */
export function oneWayMs(fromZone: string, toZone: string): number {
  if (fromZone === toZone) {
    return OWN_ZONE_MS;
  }
  const positions = Number(fromZone.slice(1)) + Number(toZone.slice(1)) - 3;
  return regionOf(fromZone) === regionOf(toZone) ? (OTHER_ZONES_MS[positions] ?? 0) : REGION_MS;
}

export function equalZones(drawn: number): string {
  return ZONES[Math.floor(drawn * ZONES.length)] ?? '';
}

/** Draws one zone with a fraction of the requests, and the others alike. */
export function zoneWithFraction(zone: string, fraction: number, drawn: number): string {
  const others = ZONES.filter((other) => other !== zone);
  return drawn < fraction
    ? zone
    : (others[Math.floor(((drawn - fraction) / (1 - fraction)) * others.length)] ?? zone);
}

export const STEADY: SiteDemand = { rateFactor: () => 1, zoneOf: (_, drawn) => equalZones(drawn) };

export const WAVE_PERIOD_MS = 6_000;

export const DEMANDS: Readonly<Record<string, SiteDemand>> = {
  steady: STEADY,
  'wave by half': {
    rateFactor: (nowMs) => 1 + 0.5 * Math.sin((2 * Math.PI * nowMs) / WAVE_PERIOD_MS),
    zoneOf: (_, drawn) => equalZones(drawn),
  },
  'a third in one zone': { rateFactor: () => 1, zoneOf: (_, drawn) => zoneWithFraction('a1', 1 / 3, drawn) },
  'callers that move': {
    rateFactor: () => 1,
    zoneOf: (nowMs, drawn) =>
      zoneWithFraction(ZONES[Math.floor(nowMs / 2_000) % ZONES.length] ?? '', 0.5, drawn),
  },
  // One organisation of 24 sends seven times its load, all of it in one zone: (1 + 6/24) of the load.
  'one organisation': {
    rateFactor: (nowMs) => (nowMs > 4_000 && nowMs < 9_000 ? 1.25 : 1),
    zoneOf: (nowMs, drawn) =>
      nowMs > 4_000 && nowMs < 9_000
        ? zoneWithFraction('a1', (1 / 6 + 0.25) / 1.25, drawn)
        : equalZones(drawn),
  },
};

/** Runs the site with shared loads; with a decision about leaving the zone, or with the constant costs. */
export async function runSpillSite(
  isSpilling: boolean,
  options: Partial<SiteOptions>,
  untilMs: number,
  disturb: (site: SimulatedSite) => void = () => undefined,
): Promise<SpillRun> {
  const states = new Map<string, ReturnType<typeof createZoneSpillState>>();
  let steps = 0;
  const site: SimulatedSite = new SimulatedSite({
    knowledge: Knowledge.Exchanged,
    oneWayMs,
    demand: STEADY,
    ...options,
    reachOf: isSpilling
      ? ({ self }, prompt) => {
          const state = states.get(self.routerId) ?? createZoneSpillState();
          states.set(self.routerId, state);
          const latencyMs = options.oneWayMs ?? oneWayMs;
          for (const zone of ZONES) {
            const connectMs = 2 * latencyMs(self.availabilityZone, zone, site.events.nowMs);
            state.distances.recordConnection(zone, connectMs, site.events.nowMs);
          }
          return createReach({
            state,
            serviceName: 'engines',
            requestKey: prompt.parts[1].partId,
            bodyBytes: prompt.promptTokens,
            isRetry: false,
            sharesLoads: options.knowledge !== Knowledge.Own,
            routerCount: site.routers.length,
            location: { availabilityZone: self.availabilityZone, region: self.region, regionOf },
            placement: DEFAULT_PLACEMENT,
            spill: DEFAULT_ZONE_SPILL,
            nowMs: site.events.nowMs,
            onChange: () => {
              steps += 1;
            },
          });
        }
      : undefined,
  });
  if (options.knowledge === undefined || options.knowledge === Knowledge.Exchanged) {
    new SimulatedExchange(site);
  }
  disturb(site);
  await site.events.advanceTo(untilMs);
  return { site, states, steps };
}

export interface SpillRun {
  readonly site: SimulatedSite;
  readonly states: ReadonlyMap<string, ReturnType<typeof createZoneSpillState>>;
  readonly steps: number;
}

export interface TrafficSummary {
  readonly otherZoneBytes: number;
  readonly otherRegionBytes: number;
  readonly otherZoneRequests: number;
  readonly otherRegionRequests: number;
}

/** Request bytes that crossed zones of a region and regions, as fractions of all. */
export function summariseTraffic(site: SimulatedSite, sinceMs: number): TrafficSummary {
  const totals = { bytes: 0, requests: 0, zoneBytes: 0, zoneRequests: 0, regionBytes: 0, regionRequests: 0 };
  for (const { sentAtMs, promptTokens, fromZone, toZone } of site.firstEvents) {
    if (sentAtMs < sinceMs) {
      continue;
    }
    totals.bytes += promptTokens;
    totals.requests += 1;
    if (regionOf(fromZone) !== regionOf(toZone)) {
      totals.regionBytes += promptTokens;
      totals.regionRequests += 1;
    } else if (fromZone !== toZone) {
      totals.zoneBytes += promptTokens;
      totals.zoneRequests += 1;
    }
  }
  return {
    otherZoneBytes: totals.zoneBytes / totals.bytes,
    otherRegionBytes: totals.regionBytes / totals.bytes,
    otherZoneRequests: totals.zoneRequests / totals.requests,
    otherRegionRequests: totals.regionRequests / totals.requests,
  };
}
