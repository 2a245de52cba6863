import type { Funding } from '../auditor/types.ts';
import { laterTopUpRows } from '../deployment/configurationRows.ts';
import type { FleetPlan } from '../deployment/fleetPlan.ts';
import { memberRows } from '../deployment/fleetPlan.ts';
import type { DemoOrganisation } from '../deployment/organisations.ts';
import type { ProcessGroup } from './processGroup.ts';
import { control, writeRows } from './standInClient.ts';

/** Times after the start of traffic. The top-up lies within the cut, as the requirements name that case. */
const CUT_AT_MS = 3_000;
const TOP_UP_AT_MS = 5_000;
const HEAL_AT_MS = 7_000;
const KILL_AT_MS = 8_500;
const UNLIST_AT_MS = 9_500;

export interface FaultSetup {
  readonly plan: FleetPlan;
  readonly organisations: readonly DemoOrganisation[];
  readonly processes: ProcessGroup;
  readonly addFunding: (funding: Funding) => void;
  readonly progress: (message: string) => void;
}

/** Cuts and heals the link, tops up, and kills one router of the store's region. */
export async function runFaults(setup: FaultSetup, startMs: number): Promise<void> {
  const { plan, processes, progress } = setup;
  const victim = plan.routers[0];
  await until(startMs + CUT_AT_MS);
  await control(plan.linkControlAddress, { cut: true });
  progress('region link cut');
  await until(startMs + TOP_UP_AT_MS);
  await topUp(setup);
  progress('top-up written');
  await until(startMs + HEAL_AT_MS);
  await control(plan.linkControlAddress, { cut: false });
  progress('region link healed');
  await until(startMs + KILL_AT_MS);
  processes.kill(victim?.routerId ?? '');
  progress(`router ${victim?.routerId ?? ''} killed`);
  await until(startMs + UNLIST_AT_MS);
  await control(plan.platformAddress, { members: memberRows(plan, victim?.vmId) });
  progress('killed router leaves the membership list');
}

async function topUp({ plan, organisations, addFunding }: FaultSetup): Promise<void> {
  const atMs = Date.now();
  await writeRows(plan.platformAddress, laterTopUpRows(organisations, atMs));
  for (const { organisationId, laterTopUpMicros } of organisations) {
    if (laterTopUpMicros > 0) {
      addFunding({ organisationId, atMs, amountMicros: laterTopUpMicros });
    }
  }
}

async function until(atMs: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, Math.max(0, atMs - Date.now())));
}
