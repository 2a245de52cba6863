import { rendezvousOrder } from '../hash.ts';

/** Up to this many routers in a region, each sends its heartbeat to every other. */
export const FULL_MESH_LIMIT = 12;
/** Neighbours of a router in a larger region. */
export const NEIGHBOUR_COUNT = 8;
/** Routers of another region that get this router's digest. */
export const DIGEST_TARGET_COUNT = 2;

export interface HeartbeatTargetInput {
  readonly ownAddress: string;
  /** Peer addresses of the other routers of the region. */
  readonly regionAddresses: readonly string[];
  /** True once neighbours relay what they hear; without it a router must reach every peer of its region. */
  readonly relayed: boolean;
}

/** Addresses of the region that get this router's heartbeat. */
export function heartbeatTargets(input: HeartbeatTargetInput): string[] {
  const { ownAddress, regionAddresses, relayed } = input;
  const others = [...new Set(regionAddresses)].filter((address) => address !== ownAddress);
  const routerCount = others.length + 1;
  if (!relayed || routerCount <= FULL_MESH_LIMIT) {
    return others.sort();
  }
  return rendezvousOrder(ownAddress, others).slice(0, NEIGHBOUR_COUNT);
}

/** Addresses of the other region that get this router's digest. They change each round, so that all hear of it. */
export function digestTargets(ownAddress: string, farAddresses: readonly string[], round: number): string[] {
  return rendezvousOrder(`${ownAddress}|${round}`, [...new Set(farAddresses)]).slice(0, DIGEST_TARGET_COUNT);
}
