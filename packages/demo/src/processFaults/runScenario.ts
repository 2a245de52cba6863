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
import { operatorRow } from './operator.ts';
import type { ScenarioPlan, ScenarioResult, ScenarioSetup } from './types.ts';

const START_LIMIT_MS = 25_000;
/** Start, traffic of up to 16 s, the last attempts of the callers and settlement. */
const SCENARIO_LIMIT_MS = 75_000;

/** Runs one scenario from the start of its fleet to its audit; every failure becomes a violation. */
export async function runScenario(
  scenario: ScenarioPlan,
  processes: ProcessGroup,
  basePort: number,
  print: (line: string) => void,
): Promise<ScenarioResult> {
  const startMs = Date.now();
  const running = runToAudit(scenario, processes, basePort, print);
  let timer: NodeJS.Timeout | undefined;
  const limit = new Promise<never>((_, reject) => {
    timer = setTimeout(() => {
      reject(new Error(`the time limit of ${SCENARIO_LIMIT_MS} ms was reached`));
    }, SCENARIO_LIMIT_MS);
  });
  try {
    return { ...(await Promise.race([running, limit])), durationMs: Date.now() - startMs };
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

async function runToAudit(
  scenario: ScenarioPlan,
  processes: ProcessGroup,
  basePort: number,
  print: (line: string) => void,
): Promise<Omit<ScenarioResult, 'durationMs'>> {
  const funding: Funding[] = [];
  const setup = createSetup(scenario, processes, basePort, funding, print);
  const { plan, organisations } = setup;
  if (!(await startFleet(plan, organisations, processes, Date.now() + START_LIMIT_MS))) {
    throw new Error(`not ready in time; ended processes: ${processes.ended().join(', ') || 'none'}`);
  }
  await writeRows(plan.platformAddress, [operatorRow()]);
  const startMs = Date.now();
  setup.progress('traffic starts');
  const [calls] = await Promise.all([
    runTraffic(plan, organisations, startMs + scenario.trafficMs),
    ...scenario.steps.map((step) => runStep(step, setup, startMs)),
  ]);
  await waitForSettlement(plan, calls, setup.progress);
  const evidence = await collectEvidence(plan, funding, calls, setup.engineSnapshots);
  const report = audit(evidence);
  const summary = summarise(evidence, report);
  const cutOff = calls.reduce((sum, { brokenCount }) => sum + brokenCount, 0);
  const violations = [
    ...auditViolations(summary),
    ...findWrongFunding(evidence),
    ...findUnexpectedEnds(setup),
    ...(scenario.check?.(setup, evidence) ?? []),
  ];
  const notes = [...inProgressLines(setup, calls), ...findingLines(report), ...refusalLines(calls)];
  return { scenario: scenario.scenario, summary, cutOff, violations, notes };
}

function createSetup(
  { scenario }: ScenarioPlan,
  processes: ProcessGroup,
  basePort: number,
  funding: Funding[],
  print: (line: string) => void,
): ScenarioSetup {
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
    stepTimesMs: new Map(),
    expectedEnds: new Set(),
  };
}

async function runStep(
  step: ScenarioPlan['steps'][number],
  setup: ScenarioSetup,
  startMs: number,
): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, Math.max(0, startMs + step.atMs - Date.now())));
  setup.stepTimesMs.set(step.name, Date.now());
  setup.progress(step.name);
  await step.run(setup);
}

/** Shows that a fault met requests in progress; a fault in a quiet moment proves little. */
function inProgressLines({ stepTimesMs }: ScenarioSetup, calls: readonly CallRecord[]): string[] {
  return [...stepTimesMs].map(([name, atMs]) => {
    const open = calls.filter(({ startedAtMs, endedAtMs }) => startedAtMs <= atMs && endedAtMs > atMs);
    return `${name}: ${open.length} requests in progress`;
  });
}

function auditViolations(summary: AuditSummary): string[] {
  return promisesHeld(summary) ? [] : [`the audit found broken promises: ${JSON.stringify(summary)}`];
}

/** A top-up that was applied twice or not at all, although no money was missing yet. */
function findWrongFunding({ budgets, funding }: Evidence): string[] {
  return budgets.flatMap(({ organisationId, fundedMicros }) => {
    const expectedMicros = fundedMicrosAt(funding, organisationId, Infinity);
    return fundedMicros === expectedMicros
      ? []
      : [`${organisationId}: funded ${fundedMicros} micros, expected ${expectedMicros}`];
  });
}

/** A process that ended although the scenario did not end it. */
function findUnexpectedEnds({ processes, expectedEnds }: ScenarioSetup): string[] {
  const unexpected = processes.ended().filter((text) => !expectedEnds.has(text.split(' ')[0] ?? ''));
  return unexpected.map((text) => `ended unexpectedly: ${text}`);
}
