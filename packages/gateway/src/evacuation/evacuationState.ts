import type { UpstreamView } from '../placement/upstreamView.ts';

/** The complete set of evacuated zones at a version of the store. */
export interface EvacuationReading {
  /** Names of availability zones, sorted, without duplicates; at most `MAX_EVACUATED_ZONES`. */
  readonly zones: readonly string[];
  /** Version of the store at which the set was read. */
  readonly version: number;
}

/** Bounds the set, which every reply of a relay carries; many times the zones of a deployment. */
export const MAX_EVACUATED_ZONES = 64;

/** An evacuation whose last requests of this router have not ended. */
export interface ZoneClearing {
  readonly startedAtMs: number;
  /** Upstreams of the zone with attempts of this router. */
  readonly busyUpstreams: Set<UpstreamView>;
}

/** The zones to which nothing may be sent, as far as this router knows. */
export interface EvacuationState {
  /** Newest reading; undefined before the first. */
  reading: EvacuationReading | undefined;
  zones: ReadonlySet<string>;
  /** Version of the reading that last changed the set; undefined before the first reading. */
  changedVersion: number | undefined;
  /** By zone. */
  readonly clearings: Map<string, ZoneClearing>;
}

export function createEvacuationState(): EvacuationState {
  return { reading: undefined, zones: new Set(), changedVersion: undefined, clearings: new Map() };
}
