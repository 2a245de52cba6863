import type { AuditReport, AuditSummary } from './auditor/audit.ts';
import { audit, summarise } from './auditor/audit.ts';
import type { Evidence, Funding } from './auditor/types.ts';
import { runTraffic } from './callers/runTraffic.ts';
import type { Deployment } from './deployment/deployments.ts';
import { planFleet } from './deployment/fleetPlan.ts';
import { demoOrganisations } from './deployment/organisations.ts';
import { collectEvidence } from './fleet/collectEvidence.ts';
import { runFaultSchedule } from './fleet/faultSchedule.ts';
import type { ProcessGroup } from './fleet/processGroup.ts';
import { startFleet } from './fleet/startFleet.ts';
import { waitForSettlement } from './fleet/waitForSettlement.ts';

const START_TIMEOUT_MS = 20_000;
const TRAFFIC_DURATION_MS = 14_000;

export interface DeploymentResult {
  readonly deployment: Deployment;
  readonly evidence: Evidence;
  readonly report: AuditReport;
  readonly summary: AuditSummary;
}

/** Starts a deployment, sends traffic to it, injects the faults and audits the result. */
export async function runDeployment(
  deployment: Deployment,
  processes: ProcessGroup,
  print: (line: string) => void,
): Promise<DeploymentResult> {
  const plan = planFleet(deployment);
  const organisations = demoOrganisations(deployment.name);
  const progress = (message: string) => {
    print(`${deployment.name}: ${message}`);
  };
  progress('starting the fleet');
  if (!(await startFleet(plan, organisations, processes, Date.now() + START_TIMEOUT_MS))) {
    throw new Error(
      `${deployment.name}: not ready in time; ended processes: ${processes.ended().join(', ') || 'none'}`,
    );
  }
  const startMs = Date.now();
  const funding: Funding[] = organisations.map(({ organisationId, firstTopUpMicros }) => {
    return { organisationId, atMs: 0, amountMicros: firstTopUpMicros };
  });
  const addFunding = (entry: Funding) => {
    funding.push(entry);
  };
  progress('all routers are ready; starting traffic');
  const [calls] = await Promise.all([
    runTraffic(plan, organisations, startMs + TRAFFIC_DURATION_MS),
    runFaultSchedule({ plan, organisations, processes, addFunding, progress }, startMs),
  ]);
  progress(`traffic ended with ${calls.length} requests; waiting for settlement`);
  await waitForSettlement(plan, calls, progress);
  const evidence = await collectEvidence(plan, funding, calls);
  const report = audit(evidence);
  return { deployment, evidence, report, summary: summarise(evidence, report) };
}
