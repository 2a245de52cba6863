import type { RouterLocation } from './chooseUpstream.ts';
import type { PlacementOptions } from './options.ts';
import type { RequestReach, ZoneCost } from './requestReach.ts';
import { distanceOf, ZoneDistance, ZoneDistances } from './zoneDistance.ts';
import type { FractionChange, ZoneSpillOptions } from './zoneSpill.ts';
import { OfferedBytes, regionFractionLimit, ServiceSpill } from './zoneSpill.ts';

/** What a router knows about leaving its zone. */
export interface ZoneSpillState {
  readonly distances: ZoneDistances;
  /** By the name of the service; services of the configuration only. */
  readonly services: Map<string, ServiceSpill>;
  readonly offered: OfferedBytes;
}

export function createZoneSpillState(): ZoneSpillState {
  return { distances: new ZoneDistances(), services: new Map(), offered: new OfferedBytes() };
}

export interface ReachInput {
  readonly state: ZoneSpillState;
  readonly serviceName: string;
  readonly requestKey: string;
  readonly bodyBytes: number;
  /** True for the second and later attempts of a request, which go to the best upstream that is left. */
  readonly isRetry: boolean;
  /** True if routers share the loads of the service's upstreams, so that response times need not be compared. */
  readonly sharesLoads: boolean;
  readonly routerCount: number;
  readonly location: RouterLocation;
  readonly placement: PlacementOptions;
  readonly spill: ZoneSpillOptions;
  readonly nowMs: number;
  readonly onChange: (change: FractionChange) => void;
}

/** Creates the reach of one request. Its gains change the fractions for the requests after it. */
export function createReach(input: ReachInput): RequestReach {
  const { state, serviceName, requestKey, isRetry, sharesLoads, location, placement, spill, nowMs } = input;
  const service = getOrCreateService(state, serviceName, spill);
  const zoneCosts = new Map<string, ZoneCost>();
  if (!isRetry) {
    state.offered.record(input.bodyBytes, nowMs);
  }
  return {
    widest: isRetry ? ZoneDistance.OtherRegion : service.widestOf(requestKey),
    maxHoldMs: spill.maxHoldMs,
    failureMemoryMs: spill.failureMemoryMs,
    zoneCost: (zone) => {
      const known = zoneCosts.get(zone);
      if (known !== undefined) {
        return known;
      }
      const distanceMs = state.distances.distanceMs(zone, location, placement);
      const waitMs = sharesLoads ? 0 : service.waitMs(zone, nowMs);
      const cost = { distance: distanceOf(zone, location), costMs: distanceMs, waitMs };
      zoneCosts.set(zone, cost);
      return cost;
    },
    recordGains: (gains) => {
      if (isRetry) {
        return;
      }
      const limit = regionFractionLimit(state.offered.rate(nowMs), input.routerCount, spill);
      for (const change of service.recordGains(gains, limit, nowMs)) {
        input.onChange(change);
      }
    },
  };
}

export function getOrCreateService(
  { services }: ZoneSpillState,
  serviceName: string,
  spill: ZoneSpillOptions,
): ServiceSpill {
  const known = services.get(serviceName);
  if (known !== undefined) {
    return known;
  }
  const created = new ServiceSpill(spill);
  services.set(serviceName, created);
  return created;
}
