import { Agent } from 'undici';
import { fetchEntry } from '../callers/entryCache.ts';
import { configurationDocument, initialRows } from '../deployment/configurationRows.ts';
import type { FleetPlan } from '../deployment/fleetPlan.ts';
import type { DemoOrganisation } from '../deployment/organisations.ts';
import { routerPlans, standInPlans } from '../deployment/processPlans.ts';
import type { ProcessGroup } from './processGroup.ts';
import { retryUntilDeadline, waitForStandIn, writeRows } from './standInClient.ts';

/** Starts the stand-ins, writes the configuration and starts the routers; false if they are not ready in time. */
export async function startFleet(
  plan: FleetPlan,
  organisations: readonly DemoOrganisation[],
  processes: ProcessGroup,
  deadlineMs: number,
): Promise<boolean> {
  for (const standIn of standInPlans(plan)) {
    processes.start(standIn);
  }
  const addresses = [
    plan.platformAddress,
    plan.linkControlAddress,
    ...[...plan.engines, ...plan.services].map(({ address }) => address),
  ];
  const ready = await Promise.all(addresses.map((address) => waitForStandIn(address, deadlineMs)));
  if (ready.includes(false)) {
    return false;
  }
  await writeRows(plan.platformAddress, initialRows(configurationDocument(plan, organisations), Date.now()));
  for (const router of routerPlans(plan)) {
    processes.start(router);
  }
  return waitForRouters(plan, organisations, deadlineMs);
}

/** Waits until all routers have the configuration: they then return entry addresses for its organisations. */
export async function waitForRouters(
  plan: FleetPlan,
  organisations: readonly DemoOrganisation[],
  deadlineMs: number,
): Promise<boolean> {
  const dispatcher = new Agent();
  const bearerKey = organisations[0]?.bearerKey ?? '';
  const isReady = async (address: string) => {
    if ((await fetchEntry(dispatcher, address, bearerKey)) === undefined) {
      throw new Error(`${address} returned no entry addresses`);
    }
  };
  const ready = await Promise.all(
    plan.routers.map(({ callerAddress }) => retryUntilDeadline(deadlineMs, () => isReady(callerAddress))),
  );
  await dispatcher.close();
  return !ready.includes(false);
}
