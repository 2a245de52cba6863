import type { PeerMessage, PeerSender, RouterIdentity, ShareLevel, VmRow } from '@pimentostall/core';
import { PeerMessageKind, RouterState, VmRole, VmState } from '@pimentostall/core';
import { TARGET } from './target.ts';

const REGIONS = ['nairobi', 'mombasa'] as const;
const ZONES = ['a', 'b'] as const;
const MAX_OCTET = 250;

const peerHost = (index: number): string =>
  `127.1.${Math.floor(index / MAX_OCTET)}.${(index % MAX_OCTET) + 1}`;

/** Identity of a router in a fleet that is spread evenly over two regions with two availability zones each. */
export function routerIdentity(index: number): RouterIdentity {
  const region = REGIONS[index % TARGET.regions] ?? REGIONS[0];
  const zone = ZONES[Math.floor(index / TARGET.regions) % ZONES.length] ?? ZONES[0];
  return {
    routerId: `${region}-${zone}-${index}`,
    vmId: `vm-${region}-${zone}-${index}`,
    region,
    storeRegion: REGIONS[0],
    availabilityZone: `${region}-${zone}`,
    callerAddress: `${peerHost(index)}:8080`,
    peerAddress: `${peerHost(index)}:8081`,
  };
}

export function peerSender(index: number): PeerSender {
  const { routerId, vmId, region, availabilityZone, peerAddress } = routerIdentity(index);
  const incarnationId = index.toString(16).padStart(32, '0');
  return { routerId, vmId, region, availabilityZone, peerAddress, incarnationId };
}

export function vmRow(index: number): VmRow {
  const { vmId, region, availabilityZone, peerAddress } = routerIdentity(index);
  return { vmId, region, availabilityZone, address: peerAddress, role: VmRole.Router, state: VmState.Live };
}

export const organisationId = (index: number): string => `organisation-${index.toString().padStart(5, '0')}`;

export function createShareLevels(count: number): ShareLevel[] {
  return Array.from({ length: count }, (_, index) => ({
    organisationId: organisationId(index),
    availableMicros: 1_000_000 + index,
  }));
}

export function createHeartbeat(index: number, shareLevels: readonly ShareLevel[]): PeerMessage {
  return {
    kind: PeerMessageKind.Heartbeat,
    state: RouterState.Live,
    callerAddress: routerIdentity(index).callerAddress,
    configurationRevision: 1,
    openRequestCount: 40,
    shareLevels,
  };
}

/** Indexes of the other routers in the region of router 0. */
export function regionPeerIndexes(routerCount: number): number[] {
  const indexes = Array.from({ length: routerCount }, (_, index) => index);
  return indexes.filter((index) => index > 0 && index % TARGET.regions === 0);
}
