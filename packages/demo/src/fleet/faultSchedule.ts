import type { Funding } from '../auditor/types.ts';
import { laterTopUpRows } from '../deployment/configurationRows.ts';
import type { FleetPlan } from '../deployment/fleetPlan.ts';
import { memberRows } from '../deployment/fleetPlan.ts';
import type { DemoOrganisation } from '../deployment/organisations.ts';
import type { ProcessGroup } from './processGroup.ts';
import { control, writeRows } from './standInClient.ts';

/** Times after the start of traffic. The requirements ask for a top-up while the link is cut. */
const CUT_AT_MS = 3_000;
const TOP_UP_AT_MS = 5_000;
const RESTORE_AT_MS = 7_000;
const KILL_AT_MS = 8_500;
const REMOVE_MEMBER_AT_MS = 9_500;

export interface FaultContext {
  readonly plan: FleetPlan;
  readonly organisations: readonly DemoOrganisation[];
  readonly processes: ProcessGroup;
  readonly addFunding: (funding: Funding) => void;
  readonly progress: (message: string) => void;
}

/** Cuts the link, tops up, restores the link and kills one router of the store's region. */
export async function runFaultSchedule(context: FaultContext, startMs: number): Promise<void> {
  const { plan, processes, progress } = context;
  const targetRouter = plan.routers[0];
  await waitUntil(startMs + CUT_AT_MS);
  await control(plan.linkControlAddress, { cut: true });
  progress('region link cut');
  await waitUntil(startMs + TOP_UP_AT_MS);
  await topUp(context);
  progress('top-up written');
  await waitUntil(startMs + RESTORE_AT_MS);
  await control(plan.linkControlAddress, { cut: false });
  progress('region link restored');
  await waitUntil(startMs + KILL_AT_MS);
  processes.kill(targetRouter?.routerId ?? '');
  progress(`router ${targetRouter?.routerId ?? ''} killed`);
  await waitUntil(startMs + REMOVE_MEMBER_AT_MS);
  await control(plan.platformAddress, { members: memberRows(plan, targetRouter?.vmId) });
  progress('killed router removed from the membership list');
}

async function topUp({ plan, organisations, addFunding }: FaultContext): Promise<void> {
  const atMs = Date.now();
  await writeRows(plan.platformAddress, laterTopUpRows(organisations, atMs));
  for (const { organisationId, laterTopUpMicros } of organisations) {
    if (laterTopUpMicros > 0) {
      addFunding({ organisationId, atMs, amountMicros: laterTopUpMicros });
    }
  }
}

async function waitUntil(atMs: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, Math.max(0, atMs - Date.now())));
}
