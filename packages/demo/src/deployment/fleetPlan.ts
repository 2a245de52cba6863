import type { VmRow } from '@pimentostall/core';
import { VmRole, VmState } from '@pimentostall/core';
import type { Deployment, ZonePlan } from './deployments.ts';

const CALLER_PORT = 18_080;
const PEER_PORT = 18_081;
const ADMIN_PORT = 18_082;
const ENGINE_PORT = 18_400;
const SERVICE_PORT = 18_500;
const PLATFORM_PORT = 19_000;
const LINK_CONTROL_PORT = 19_100;
const FIRST_RELAY_PORT = 19_200;
const PLATFORM_HOST_NUMBER = 100;
const LINK_HOST_NUMBER = 200;

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

/** All processes of a deployment with their addresses. */
export interface FleetPlan {
  readonly deployment: Deployment;
  readonly routers: readonly RouterPlan[];
  readonly engines: readonly UpstreamPlan[];
  readonly services: readonly UpstreamPlan[];
  readonly platformAddress: string;
  readonly linkControlAddress: string;
  readonly relays: readonly RelayPlan[];
}

function regionNumber(deployment: Deployment, region: string): number {
  return deployment.regions.indexOf(region) + 1;
}

function buildAddress(deployment: Deployment, region: string, host: number, port: number): string {
  return `127.${regionNumber(deployment, region)}.${deployment.octet}.${host}:${port + deployment.portOffset}`;
}

interface ProcessSlot {
  readonly zone: ZonePlan;
  readonly name: string;
  readonly hostNumber: number;
}

/** Assigns a host number to each process of a role: the last octet of its address, unique in the deployment. */
function slots(
  deployment: Deployment,
  count: (zone: ZonePlan) => number,
  firstHostNumber: number,
): ProcessSlot[] {
  const slotsWithoutHost = deployment.zones.flatMap((zone) =>
    Array.from({ length: count(zone) }, (_, index) => ({
      zone,
      name: `${zone.availabilityZone}-${index + 1}`,
    })),
  );
  return slotsWithoutHost.map((slot, index) => ({ ...slot, hostNumber: firstHostNumber + index }));
}

function planRouter(deployment: Deployment, { zone, name, hostNumber }: ProcessSlot): RouterPlan {
  const { region, availabilityZone } = zone;
  return {
    routerId: name,
    vmId: `vm-router-${name}`,
    region,
    availabilityZone,
    callerAddress: buildAddress(deployment, region, hostNumber, CALLER_PORT),
    peerAddress: buildAddress(deployment, region, hostNumber, PEER_PORT),
    adminAddress: buildAddress(deployment, region, hostNumber, ADMIN_PORT),
  };
}

function planUpstream(
  deployment: Deployment,
  prefix: string,
  port: number,
  { zone, name, hostNumber }: ProcessSlot,
): UpstreamPlan {
  const { region, availabilityZone } = zone;
  const address = buildAddress(deployment, region, hostNumber, port);
  return { upstreamId: `${prefix}-${name}`, region, availabilityZone, address };
}

/** Plans a relay for each target, in the region from which the routers reach it through the link. */
function planRelays(
  deployment: Deployment,
  targets: readonly (readonly [region: string, address: string])[],
) {
  const [storeRegion, farRegion] = deployment.regions;
  return targets.map(([region, target], index) => {
    const reversed = region === storeRegion;
    const listenRegion = reversed ? farRegion : storeRegion;
    return {
      listen: buildAddress(deployment, listenRegion, LINK_HOST_NUMBER, FIRST_RELAY_PORT + index),
      target,
      reversed,
    };
  });
}

export function planFleet(deployment: Deployment): FleetPlan {
  const [storeRegion] = deployment.regions;
  const routers = slots(deployment, (zone) => zone.routerCount, 1).map((slot) =>
    planRouter(deployment, slot),
  );
  const engines = slots(deployment, (zone) => zone.engineCount, 31).map((slot) =>
    planUpstream(deployment, 'engine', ENGINE_PORT, slot),
  );
  const services = slots(deployment, (zone) => zone.serviceCount, 51).map((slot) =>
    planUpstream(deployment, 'service', SERVICE_PORT, slot),
  );
  const platformAddress = buildAddress(deployment, storeRegion, PLATFORM_HOST_NUMBER, PLATFORM_PORT);
  const relays = planRelays(deployment, [
    [storeRegion, platformAddress],
    ...routers.map(({ region, peerAddress }) => [region, peerAddress] as const),
    ...[...engines, ...services].map(({ region, address }) => [region, address] as const),
  ]);
  const linkControlAddress = buildAddress(deployment, storeRegion, LINK_HOST_NUMBER, LINK_CONTROL_PORT);
  return { deployment, routers, engines, services, platformAddress, linkControlAddress, relays };
}

/** Membership list of the deployment, optionally without one VM. */
export function memberRows(plan: FleetPlan, removedVmId?: string): VmRow[] {
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
  return rows.filter(({ vmId }) => vmId !== removedVmId);
}

/** Maps addresses in the other region to the relays through which a router of this region reaches them. */
export function addressOverrides(plan: FleetPlan, region: string): Record<string, string> {
  const relaysInRegion = plan.relays.filter(
    ({ reversed }) => reversed === (region !== plan.deployment.regions[0]),
  );
  return Object.fromEntries(relaysInRegion.map(({ target, listen }) => [target, listen]));
}
