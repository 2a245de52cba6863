import type { RouterLocation } from './chooseUpstream.ts';
import type { PlacementOptions } from './options.ts';

/** How far an upstream is from the router, in the order in which distance grows. */
export enum ZoneDistance {
  OwnZone = 0,
  OtherZone = 1,
  OtherRegion = 2,
}

/** Values of the label `distance` of metrics, and of log fields. */
export const DISTANCE_NAMES: Readonly<Record<ZoneDistance, string>> = {
  [ZoneDistance.OwnZone]: 'own-zone',
  [ZoneDistance.OtherZone]: 'other-zone',
  [ZoneDistance.OtherRegion]: 'other-region',
};

export function distanceOf(zone: string, location: RouterLocation): ZoneDistance {
  if (zone === location.availabilityZone) {
    return ZoneDistance.OwnZone;
  }
  return location.regionOf(zone) === location.region ? ZoneDistance.OtherZone : ZoneDistance.OtherRegion;
}

/** The constant costs of placement, for zones without a measurement. */
export function constantDistanceMs(distance: ZoneDistance, options: PlacementOptions): number {
  switch (distance) {
    case ZoneDistance.OwnZone:
      return 0;
    case ZoneDistance.OtherZone:
      return options.otherZoneCostMs;
    case ZoneDistance.OtherRegion:
      return options.otherRegionCostMs;
  }
}

/** Span of the least connection times; after a change of a link, the old time counts for up to two spans. */
const SPAN_MS = 5_000;
/** Least distance of another zone: two zones with the same connection time still have a price for their traffic. */
const MIN_DISTANCE_MS = 0.5;
/**
 * Cost of the other region beyond its latency: the link is narrow, and requests that gain less than this by crossing it
 * take it from others. With the latency of a healthy link, the sum is about the constant cost.
 */
const REGION_LINK_COST_MS = 10;
/** Zones that are remembered; several times those of a large deployment. */
const MAX_ZONES = 64;

interface LeastTime {
  startedAtMs: number;
  currentMs: number;
  previousMs: number;
}

/**
 * Distances of zones from the least times in which connections to their upstreams were opened: one round trip each. The
 * least of several excludes times in which an event loop was late.
 */
export class ZoneDistances {
  private readonly leastTimes = new Map<string, LeastTime>();

  recordConnection(zone: string, durationMs: number, nowMs: number): void {
    const known = this.leastTimes.get(zone);
    if (known === undefined) {
      if (this.leastTimes.size < MAX_ZONES) {
        this.leastTimes.set(zone, { startedAtMs: nowMs, currentMs: durationMs, previousMs: Infinity });
      }
    } else if (nowMs - known.startedAtMs >= SPAN_MS) {
      known.previousMs = known.currentMs;
      known.currentMs = durationMs;
      known.startedAtMs = nowMs;
    } else {
      known.currentMs = Math.min(known.currentMs, durationMs);
    }
  }

  /** Returns the cost of the distance to a zone in milliseconds: measured if both zones have been, else the constant. */
  distanceMs(zone: string, location: RouterLocation, options: PlacementOptions): number {
    const distance = distanceOf(zone, location);
    const ownMs = this.leastMs(location.availabilityZone);
    const zoneMs = this.leastMs(zone);
    if (distance === ZoneDistance.OwnZone || ownMs === undefined || zoneMs === undefined) {
      return constantDistanceMs(distance, options);
    }
    const linkCostMs = distance === ZoneDistance.OtherRegion ? REGION_LINK_COST_MS : 0;
    return Math.max(MIN_DISTANCE_MS, zoneMs - ownMs) + linkCostMs;
  }

  private leastMs(zone: string): number | undefined {
    const known = this.leastTimes.get(zone);
    return known === undefined ? undefined : Math.min(known.currentMs, known.previousMs);
  }
}
