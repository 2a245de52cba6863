import type { CoreOptions } from '@pimentostall/core';
import { StandInKind } from '@pimentostall/standins';
import type { FleetPlan } from './fleetPlan.ts';
import { addressOverrides, memberRows } from './fleetPlan.ts';

/** A process to start: its command-line arguments and its settings. */
export interface ProcessPlan {
  readonly name: string;
  readonly command: readonly string[];
  readonly settings: unknown;
}

/** Shorter than the defaults, so that a reclaim and all settlements complete within one run. */
const ROUTER_OPTIONS: Partial<CoreOptions> = {
  reclaimGraceMs: 3_000,
  fenceWaitMs: 2_500,
  settleIntervalMs: 500,
  membershipIntervalMs: 500,
  entryKeepMs: 1_000,
};

const MEMBER_LAG_MS = 1_000;

export function standInPlans(plan: FleetPlan): ProcessPlan[] {
  const { deployment } = plan;
  const standIn = (kind: StandInKind, name: string, settings: unknown): ProcessPlan => ({
    name,
    command: ['stand-in', kind],
    settings,
  });
  return [
    standIn(StandInKind.Platform, 'platform', {
      address: plan.platformAddress,
      memberLagMs: MEMBER_LAG_MS,
      members: memberRows(plan),
    }),
    standIn(StandInKind.Link, 'link', {
      controlAddress: plan.linkControlAddress,
      delayMs: deployment.linkDelayMs,
      relays: plan.relays,
    }),
    ...plan.engines.map(({ upstreamId, address }) => standIn(StandInKind.Engine, upstreamId, { address })),
    ...plan.services.map(({ upstreamId, address }) =>
      standIn(StandInKind.Service, upstreamId, { address, honoursKey: deployment.honoursKey, delayMs: 5 }),
    ),
  ];
}

export function routerPlans(plan: FleetPlan): ProcessPlan[] {
  return plan.routers.map((router) => ({
    name: router.routerId,
    command: ['router'],
    settings: {
      ...router,
      storeRegion: plan.deployment.regions[0],
      platformAddress: plan.platformAddress,
      addressOverrides: addressOverrides(plan, router.region),
      options: ROUTER_OPTIONS,
      log: { level: 'info' },
    },
  }));
}
