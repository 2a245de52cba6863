import { rendezvousOrder } from '../hash.ts';

/** Largest region in which every router sends its heartbeat to every other. */
export const FULL_MESH_MAX_ROUTERS = 12;
/** Number of heartbeat recipients in a larger region. */
export const NEIGHBOUR_COUNT = 8;
/** Number of routers of other regions that receive a digest in each round. */
export const DIGEST_TARGET_COUNT = 2;

export interface HeartbeatTargetInput {
  readonly ownAddress: string;
  /** Peer addresses of the other routers of the region. */
  readonly regionAddresses: readonly string[];
  /** Whether neighbours relay heartbeats; if not, a router must reach every peer of its region directly. */
  readonly relayed: boolean;
}

/** Returns the addresses of the region that receive this router's heartbeat. */
export function heartbeatTargets(input: HeartbeatTargetInput): string[] {
  const { ownAddress, regionAddresses, relayed } = input;
  const others = [...new Set(regionAddresses)].filter((address) => address !== ownAddress);
  const routerCount = others.length + 1;
  if (!relayed || routerCount <= FULL_MESH_MAX_ROUTERS) {
    return others.sort();
  }
  return rendezvousOrder(ownAddress, others).slice(0, NEIGHBOUR_COUNT);
}

/** Returns the digest recipients in other regions. They change each round, so that all are reached. */
export function digestTargets(
  ownAddress: string,
  otherRegionAddresses: readonly string[],
  round: number,
): string[] {
  return rendezvousOrder(`${ownAddress}|${round}`, [...new Set(otherRegionAddresses)]).slice(
    0,
    DIGEST_TARGET_COUNT,
  );
}
