import type { AuditReport, AuditSummary } from './auditor/audit.ts';
import { audit, summarise } from './auditor/audit.ts';
import type { Evidence, Funding } from './auditor/types.ts';
import { runTraffic } from './callers/runTraffic.ts';
import { collectEvidence } from './fleet/collectEvidence.ts';
import { runFaults } from './fleet/faultSchedule.ts';
import type { ProcessGroup } from './fleet/processGroup.ts';
import { startFleet } from './fleet/startFleet.ts';
import { waitForSettlement } from './fleet/waitForSettlement.ts';
import { planFleet } from './place/fleetPlan.ts';
import { demoOrganisations } from './place/organisations.ts';
import type { Place } from './place/places.ts';

const START_LIMIT_MS = 20_000;
const TRAFFIC_MS = 14_000;

export interface PlaceResult {
  readonly place: Place;
  readonly evidence: Evidence;
  readonly report: AuditReport;
  readonly summary: AuditSummary;
}

/** Runs one place from its start to its audit. */
export async function runPlace(
  place: Place,
  processes: ProcessGroup,
  print: (line: string) => void,
): Promise<PlaceResult> {
  const plan = planFleet(place);
  const organisations = demoOrganisations(place.name);
  const progress = (message: string) => {
    print(`${place.name}: ${message}`);
  };
  progress('starting the fleet');
  if (!(await startFleet(plan, organisations, processes, Date.now() + START_LIMIT_MS))) {
    throw new Error(
      `${place.name}: not ready in time; ended processes: ${processes.ended().join(', ') || 'none'}`,
    );
  }
  const startMs = Date.now();
  const funding: Funding[] = organisations.map(({ organisationId, firstTopUpMicros }) => {
    return { organisationId, atMs: 0, amountMicros: firstTopUpMicros };
  });
  const addFunding = (entry: Funding) => {
    funding.push(entry);
  };
  progress('all routers answer; traffic starts');
  const [calls] = await Promise.all([
    runTraffic(plan, organisations, startMs + TRAFFIC_MS),
    runFaults({ plan, organisations, processes, addFunding, progress }, startMs),
  ]);
  progress(`traffic ended with ${calls.length} requests; waiting for settlement`);
  await waitForSettlement(plan, calls, progress);
  const evidence = await collectEvidence(plan, funding, calls);
  const report = audit(evidence);
  return { place, evidence, report, summary: summarise(evidence, report) };
}
