import type { EstimatedPlacement } from './chooseUpstream.ts';
import type { SpillGains } from './zoneSpill.ts';
import { ZoneDistance } from './zoneDistance.ts';

export interface ZoneCost {
  readonly distance: ZoneDistance;
  readonly costMs: number;
  /**
   * Waiting time that responses of the zone showed lately; 0 if not known. It counts for the gain of leaving, but not for
   * the choice: all requests would follow a mean that is a second old.
   */
  readonly waitMs: number;
}

/** How far a request may go, and what zones cost it. Created for one placement. */
export interface RequestReach {
  /** How far it may go because nearer upstreams are busy. */
  readonly widest: ZoneDistance;
  /** Most by which the load of nearer upstreams is preferred to distance beyond the reach. */
  readonly maxHoldMs: number;
  /** Time within which the cost of an upstream's failures falls to 0. */
  readonly failureMemoryMs: number;
  zoneCost(zone: string): ZoneCost;
  recordGains(gains: SpillGains): void;
}

const DISTANCES = [ZoneDistance.OwnZone, ZoneDistance.OtherZone, ZoneDistance.OtherRegion] as const;

interface Choice {
  readonly widest: ZoneDistance;
  placement: EstimatedPlacement | undefined;
  costMs: number;
}

/**
 * Returns the placement with the least cost within the reach of a request. Beyond it, an upstream counts as at least as
 * loaded as the least loaded one within, up to a limit; without an upstream within, it counts as it is. Of upstreams that
 * cost almost the same, those within the reach are preferred, then the nearest; one of several is returned by chance if
 * `pick` is given.
 *
 * @param pick returns the index of one of several placements
 */
export function chooseWithinReach(
  placements: readonly EstimatedPlacement[],
  reach: RequestReach,
  toleranceMs: number,
  pick: ((count: number) => number) | undefined,
): EstimatedPlacement | undefined {
  const distances = placements.map(
    ({ upstream }) => reach.zoneCost(upstream.entry.availabilityZone).distance,
  );
  const floorsMs = leastLoads(placements, distances);
  const costWithin = (placement: EstimatedPlacement, distance: ZoneDistance, widest: ZoneDistance): number =>
    distance <= widest
      ? placement.costMs
      : placement.costMs + Math.min(reach.maxHoldMs, Math.max(0, floorsMs[widest] - placement.loadMs));
  const choices = DISTANCES.map((widest): Choice => ({ widest, placement: undefined, costMs: Infinity }));
  for (const [index, placement] of placements.entries()) {
    const distance = distances[index] ?? ZoneDistance.OwnZone;
    for (const choice of choices) {
      const costMs = costWithin(placement, distance, choice.widest);
      if (costMs < choice.costMs) {
        choice.placement = placement;
        choice.costMs = costMs;
      }
    }
  }
  const [own, region, all] = choices.map(({ placement }) => placement?.costMs);
  if (own === undefined || region === undefined || all === undefined) {
    return undefined;
  }
  const waits = leastWaits(placements, distances, reach);
  reach.recordGains({
    otherZonesMs: Math.max(own - region, waits[0] - waits[1]),
    otherRegionMs: Math.max(region - all, waits[1] - waits[2]),
  });
  const best = choices[reach.widest];
  if (pick === undefined || best === undefined) {
    return best?.placement;
  }
  // Within the reach all distances are alike, as for the constant costs.
  const beyond = distances.map((distance) => (distance <= reach.widest ? ZoneDistance.OwnZone : distance));
  return pickNearest(placements, beyond, pick, (placement, distance) => {
    return costWithin(placement, distance, reach.widest) <= best.costMs + toleranceMs;
  });
}

/** Returns the least load of the upstreams up to each distance; -Infinity without any. */
function leastLoads(
  placements: readonly EstimatedPlacement[],
  distances: readonly ZoneDistance[],
): Record<ZoneDistance, number> {
  const least = [Infinity, Infinity, Infinity];
  for (const [index, { loadMs }] of placements.entries()) {
    for (let widest = distances[index] ?? 0; widest < least.length; widest += 1) {
      least[widest] = Math.min(least[widest] ?? Infinity, loadMs);
    }
  }
  const [own, region, all] = least.map((loadMs) => (loadMs === Infinity ? -Infinity : loadMs));
  return {
    [ZoneDistance.OwnZone]: own ?? -Infinity,
    [ZoneDistance.OtherZone]: region ?? -Infinity,
    [ZoneDistance.OtherRegion]: all ?? -Infinity,
  };
}

/** Returns the least sum of distance and observed waiting time up to each distance, or beyond it without upstreams. */
function leastWaits(
  placements: readonly EstimatedPlacement[],
  distances: readonly ZoneDistance[],
  reach: RequestReach,
): readonly [number, number, number] {
  let own = Infinity;
  let zones = Infinity;
  let region = Infinity;
  for (const [index, { upstream }] of placements.entries()) {
    const { costMs, waitMs } = reach.zoneCost(upstream.entry.availabilityZone);
    switch (distances[index] ?? ZoneDistance.OwnZone) {
      case ZoneDistance.OwnZone:
        own = Math.min(own, costMs + waitMs);
        break;
      case ZoneDistance.OtherZone:
        zones = Math.min(zones, costMs + waitMs);
        break;
      case ZoneDistance.OtherRegion:
        region = Math.min(region, costMs + waitMs);
        break;
    }
  }
  const all = Math.min(own, zones, region);
  const withinRegion = Math.min(own, zones) === Infinity ? all : Math.min(own, zones);
  return [own === Infinity ? withinRegion : own, withinRegion, all];
}

function pickNearest(
  placements: readonly EstimatedPlacement[],
  distances: readonly ZoneDistance[],
  pick: (count: number) => number,
  isEqual: (placement: EstimatedPlacement, distance: ZoneDistance) => boolean,
): EstimatedPlacement | undefined {
  let nearest = ZoneDistance.OtherRegion;
  let equal: EstimatedPlacement[] = [];
  for (const [index, placement] of placements.entries()) {
    const distance = distances[index] ?? ZoneDistance.OwnZone;
    if (distance > nearest || !isEqual(placement, distance)) {
      continue;
    }
    if (distance < nearest) {
      nearest = distance;
      equal = [];
    }
    equal.push(placement);
  }
  return equal[pick(equal.length)];
}
