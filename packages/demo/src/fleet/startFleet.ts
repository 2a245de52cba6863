import { Agent } from 'undici';
import { fetchEntry } from '../callers/entryCache.ts';
import { configurationDocument, initialRows } from '../deployment/configurationRows.ts';
import type { FleetPlan } from '../deployment/fleetPlan.ts';
import type { DemoOrganisation } from '../deployment/organisations.ts';
import { routerPlans, standInPlans } from '../deployment/processPlans.ts';
import type { ProcessGroup } from './processGroup.ts';
import { succeedsBefore, waitForStandIn, writeRows } from './standInClient.ts';

/** Starts the stand-ins, loads the configuration and starts the routers; false if they are not ready in time. */
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

/** A router is ready when it gives entry answers to an organisation of the configuration. */
export async function waitForRouters(
  plan: FleetPlan,
  organisations: readonly DemoOrganisation[],
  deadlineMs: number,
): Promise<boolean> {
  const dispatcher = new Agent();
  const bearerKey = organisations[0]?.bearerKey ?? '';
  const isReady = async (address: string) => {
    if ((await fetchEntry(dispatcher, address, bearerKey)) === undefined) {
      throw new Error(`${address} gives no entry answer`);
    }
  };
  const ready = await Promise.all(
    plan.routers.map(({ callerAddress }) => succeedsBefore(deadlineMs, () => isReady(callerAddress))),
  );
  await dispatcher.close();
  return !ready.includes(false);
}
