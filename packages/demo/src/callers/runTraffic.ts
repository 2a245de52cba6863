import { hash32, seededRandom } from '@pimentostall/core';
import { Agent } from 'undici';
import type { CallRecord } from '../auditor/types.ts';
import type { FleetPlan } from '../deployment/fleetPlan.ts';
import type { DemoOrganisation } from '../deployment/organisations.ts';
import { runCaller } from './caller.ts';
import { EntryCache } from './entryCache.ts';

/** Runs all callers until `endMs` and returns the records of their requests. */
export async function runTraffic(
  plan: FleetPlan,
  organisations: readonly DemoOrganisation[],
  endMs: number,
): Promise<CallRecord[]> {
  const dispatcher = new Agent();
  const calls: CallRecord[] = [];
  const record = (call: CallRecord) => {
    calls.push(call);
  };
  const callers = organisations.flatMap((organisation) =>
    Array.from({ length: organisation.callerCount }, (_, index) => {
      const name = `${organisation.organisationId}.${index + 1}`;
      const random = seededRandom(hash32(name));
      const routers = routersKnownTo(plan, index);
      const entry = new EntryCache(dispatcher, routers, organisation.bearerKey, random);
      const { deployment } = plan;
      return runCaller({ name, deployment, organisation, dispatcher, entry, random, record }, endMs);
    }),
  );
  await Promise.all(callers);
  await dispatcher.close();
  return calls;
}

/** Every third caller is in the far region. Callers only know the routers of their own region. */
function routersKnownTo(plan: FleetPlan, callerIndex: number): string[] {
  const [storeRegion, farRegion] = plan.deployment.regions;
  const region = callerIndex % 3 === 1 ? farRegion : storeRegion;
  return plan.routers.filter((router) => router.region === region).map(({ callerAddress }) => callerAddress);
}
