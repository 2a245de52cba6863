import { audit, promisesHeld, summarise } from '../auditor/audit.ts';
import type { AuditSummary } from '../auditor/audit.ts';
import type { CallRecord, Evidence, Funding } from '../auditor/types.ts';
import { fundedMicrosAt } from '../auditor/usage.ts';
import { runTraffic } from '../callers/runTraffic.ts';
import { planFleet } from '../deployment/fleetPlan.ts';
import { demoOrganisations } from '../deployment/organisations.ts';
import { collectEvidence } from '../fleet/collectEvidence.ts';
import type { ProcessGroup } from '../fleet/processGroup.ts';
import { writeRows } from '../fleet/standInClient.ts';
import { startFleet } from '../fleet/startFleet.ts';
import { waitForSettlement } from '../fleet/waitForSettlement.ts';
import { findingLines, refusalLines } from '../report/findingLines.ts';
import { faultDeployment } from './faultDeployment.ts';
import { createOperatorRow } from './operator.ts';
import type { ScenarioContext, ScenarioPlan, ScenarioResult } from './types.ts';

const START_TIMEOUT_MS = 25_000;
/** Covers the start, up to 16 s of traffic, the last attempts of the callers and the settlement. */
const SCENARIO_TIMEOUT_MS = 75_000;

/** Starts a deployment, runs a scenario on it and audits the result. Every failure is reported as a violation. */
export async function runScenario(
  scenario: ScenarioPlan,
  processes: ProcessGroup,
  basePort: number,
  print: (line: string) => void,
): Promise<ScenarioResult> {
  const startMs = Date.now();
  const running = runAndAudit(scenario, processes, basePort, print);
  let timer: NodeJS.Timeout | undefined;
  const timeLimit = new Promise<never>((_, reject) => {
    timer = setTimeout(() => {
      reject(new Error(`the time limit of ${SCENARIO_TIMEOUT_MS} ms was reached`));
    }, SCENARIO_TIMEOUT_MS);
  });
  try {
    return { ...(await Promise.race([running, timeLimit])), durationMs: Date.now() - startMs };
  } catch (error) {
    const violations = [error instanceof Error ? error.message : String(error)];
    const durationMs = Date.now() - startMs;
    return { scenario: scenario.scenario, summary: undefined, cutOff: 0, violations, notes: [], durationMs };
  } finally {
    clearTimeout(timer);
    running.catch(() => undefined);
    await processes.stopAll();
  }
}

async function runAndAudit(
  scenario: ScenarioPlan,
  processes: ProcessGroup,
  basePort: number,
  print: (line: string) => void,
): Promise<Omit<ScenarioResult, 'durationMs'>> {
  const funding: Funding[] = [];
  const context = createContext(scenario, processes, basePort, funding, print);
  const { plan, organisations } = context;
  if (!(await startFleet(plan, organisations, processes, Date.now() + START_TIMEOUT_MS))) {
    throw new Error(`not ready in time; ended processes: ${processes.ended().join(', ') || 'none'}`);
  }
  await writeRows(plan.platformAddress, [createOperatorRow()]);
  const startMs = Date.now();
  context.progress('traffic starts');
  const [calls] = await Promise.all([
    runTraffic(plan, organisations, startMs + scenario.trafficMs),
    ...scenario.steps.map((step) => runStep(step, context, startMs)),
  ]);
  await waitForSettlement(plan, calls, context.progress);
  const evidence = await collectEvidence(plan, funding, calls, context.engineSnapshots);
  const report = audit(evidence);
  const summary = summarise(evidence, report);
  const cutOff = calls.reduce((sum, { brokenCount }) => sum + brokenCount, 0);
  const violations = [
    ...auditViolations(summary),
    ...findFundingMismatches(evidence),
    ...findUnexpectedExits(context),
    ...(scenario.check?.(context, evidence) ?? []),
  ];
  const notes = [
    ...formatRequestsInProgress(context, calls),
    ...findingLines(report),
    ...refusalLines(calls),
  ];
  return { scenario: scenario.scenario, summary, cutOff, violations, notes };
}

function createContext(
  { scenario }: ScenarioPlan,
  processes: ProcessGroup,
  basePort: number,
  funding: Funding[],
  print: (line: string) => void,
): ScenarioContext {
  const deployment = faultDeployment(scenario, basePort);
  const organisations = demoOrganisations(deployment.name);
  funding.push(
    ...organisations.map(({ organisationId, firstTopUpMicros }) => {
      return { organisationId, atMs: 0, amountMicros: firstTopUpMicros };
    }),
  );
  return {
    plan: planFleet(deployment),
    organisations,
    processes,
    addFunding: (entry) => {
      funding.push(entry);
    },
    progress: (message) => {
      print(`${scenario}: ${message}`);
    },
    engineSnapshots: new Map(),
    stepStartedAtMs: new Map(),
    expectedExits: new Set(),
  };
}

async function runStep(
  step: ScenarioPlan['steps'][number],
  context: ScenarioContext,
  startMs: number,
): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, Math.max(0, startMs + step.atMs - Date.now())));
  context.stepStartedAtMs.set(step.name, Date.now());
  context.progress(step.name);
  await step.run(context);
}

/** Reports the requests in progress at each step, because a fault without any proves little. */
function formatRequestsInProgress(
  { stepStartedAtMs }: ScenarioContext,
  calls: readonly CallRecord[],
): string[] {
  return [...stepStartedAtMs].map(([name, atMs]) => {
    const open = calls.filter(({ startedAtMs, endedAtMs }) => startedAtMs <= atMs && endedAtMs > atMs);
    return `${name}: ${open.length} requests in progress`;
  });
}

function auditViolations(summary: AuditSummary): string[] {
  return promisesHeld(summary) ? [] : [`the audit found violated promises: ${JSON.stringify(summary)}`];
}

/** Finds top-ups that were applied twice or not at all, which the audit only finds once money is missing. */
function findFundingMismatches({ budgets, funding }: Evidence): string[] {
  return budgets.flatMap(({ organisationId, fundedMicros }) => {
    const expectedMicros = fundedMicrosAt(funding, organisationId, Infinity);
    return fundedMicros === expectedMicros
      ? []
      : [`${organisationId}: funded ${fundedMicros} micros, expected ${expectedMicros}`];
  });
}

/** Finds processes that ended although the scenario did not stop them. */
function findUnexpectedExits({ processes, expectedExits }: ScenarioContext): string[] {
  const unexpected = processes.ended().filter((text) => !expectedExits.has(text.split(' ')[0] ?? ''));
  return unexpected.map((text) => `unexpected exit: ${text}`);
}
