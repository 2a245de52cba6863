import type { VmRow } from '@pimentostall/core';
import { VmRole, VmState } from '@pimentostall/core';
import type { Place, ZonePlan } from './places.ts';

const CALLER_PORT = 18_080;
const PEER_PORT = 18_081;
const ADMIN_PORT = 18_082;
const ENGINE_PORT = 18_400;
const SERVICE_PORT = 18_500;
const PLATFORM_PORT = 19_000;
const LINK_CONTROL_PORT = 19_100;
const FIRST_RELAY_PORT = 19_200;
const PLATFORM_HOST = 100;
const LINK_HOST = 200;

export interface RouterPlan {
  readonly routerId: string;
  readonly vmId: string;
  readonly region: string;
  readonly availabilityZone: string;
  readonly callerAddress: string;
  readonly peerAddress: string;
  readonly adminAddress: string;
}

export interface UpstreamPlan {
  readonly upstreamId: string;
  readonly region: string;
  readonly availabilityZone: string;
  readonly address: string;
}

export interface RelayPlan {
  readonly listen: string;
  readonly target: string;
  readonly reversed: boolean;
}

/** Every process of a place with its addresses. */
export interface FleetPlan {
  readonly place: Place;
  readonly routers: readonly RouterPlan[];
  readonly engines: readonly UpstreamPlan[];
  readonly services: readonly UpstreamPlan[];
  readonly platformAddress: string;
  readonly linkControlAddress: string;
  readonly relays: readonly RelayPlan[];
}

function regionNumber(place: Place, region: string): number {
  return place.regions.indexOf(region) + 1;
}

function addressIn(place: Place, region: string, host: number, port: number): string {
  return `127.${regionNumber(place, region)}.${place.octet}.${host}:${port + place.portOffset}`;
}

interface Slot {
  readonly zone: ZonePlan;
  readonly name: string;
  readonly host: number;
}

/** One slot for each process of a role, with a host number that is unique within the place. */
function slots(place: Place, count: (zone: ZonePlan) => number, firstHost: number): Slot[] {
  const unnumbered = place.zones.flatMap((zone) =>
    Array.from({ length: count(zone) }, (_, index) => ({
      zone,
      name: `${zone.availabilityZone}-${index + 1}`,
    })),
  );
  return unnumbered.map((slot, index) => ({ ...slot, host: firstHost + index }));
}

function planRouter(place: Place, { zone, name, host }: Slot): RouterPlan {
  const { region, availabilityZone } = zone;
  return {
    routerId: name,
    vmId: `vm-router-${name}`,
    region,
    availabilityZone,
    callerAddress: addressIn(place, region, host, CALLER_PORT),
    peerAddress: addressIn(place, region, host, PEER_PORT),
    adminAddress: addressIn(place, region, host, ADMIN_PORT),
  };
}

function planUpstream(place: Place, prefix: string, port: number, { zone, name, host }: Slot): UpstreamPlan {
  const { region, availabilityZone } = zone;
  const address = addressIn(place, region, host, port);
  return { upstreamId: `${prefix}-${name}`, region, availabilityZone, address };
}

/** A relay in the other region for each address that routers there must reach. */
function planRelays(place: Place, targets: readonly (readonly [region: string, address: string])[]) {
  const [storeRegion, farRegion] = place.regions;
  return targets.map(([region, target], index) => {
    const reversed = region === storeRegion;
    const listenRegion = reversed ? farRegion : storeRegion;
    return { listen: addressIn(place, listenRegion, LINK_HOST, FIRST_RELAY_PORT + index), target, reversed };
  });
}

export function planFleet(place: Place): FleetPlan {
  const [storeRegion] = place.regions;
  const routers = slots(place, (zone) => zone.routerCount, 1).map((slot) => planRouter(place, slot));
  const engines = slots(place, (zone) => zone.engineCount, 31).map((slot) =>
    planUpstream(place, 'engine', ENGINE_PORT, slot),
  );
  const services = slots(place, (zone) => zone.serviceCount, 51).map((slot) =>
    planUpstream(place, 'service', SERVICE_PORT, slot),
  );
  const platformAddress = addressIn(place, storeRegion, PLATFORM_HOST, PLATFORM_PORT);
  const relays = planRelays(place, [
    [storeRegion, platformAddress],
    ...routers.map(({ region, peerAddress }) => [region, peerAddress] as const),
    ...[...engines, ...services].map(({ region, address }) => [region, address] as const),
  ]);
  const linkControlAddress = addressIn(place, storeRegion, LINK_HOST, LINK_CONTROL_PORT);
  return { place, routers, engines, services, platformAddress, linkControlAddress, relays };
}

/** The membership list of the place, without the given VM. */
export function memberRows(plan: FleetPlan, absentVmId?: string): VmRow[] {
  const routers = plan.routers.map((router) => ({
    vmId: router.vmId,
    address: router.peerAddress,
    role: VmRole.Router,
    state: VmState.Live,
    region: router.region,
    availabilityZone: router.availabilityZone,
  }));
  const upstreamRows = (upstreams: readonly UpstreamPlan[], role: VmRole) =>
    upstreams.map(({ upstreamId, address, region, availabilityZone }) => {
      return { vmId: `vm-${upstreamId}`, address, role, state: VmState.Live, region, availabilityZone };
    });
  const rows = [
    ...routers,
    ...upstreamRows(plan.engines, VmRole.Engine),
    ...upstreamRows(plan.services, VmRole.Service),
  ];
  return rows.filter(({ vmId }) => vmId !== absentVmId);
}

/** Addresses of the other region that a router of this region reaches through the link. */
export function addressOverrides(plan: FleetPlan, region: string): Record<string, string> {
  const dialledHere = plan.relays.filter(({ reversed }) => reversed === (region !== plan.place.regions[0]));
  return Object.fromEntries(dialledHere.map(({ target, listen }) => [target, listen]));
}
