import type { AuditSummary } from './auditor/audit.ts';
import { addSummaries, promisesHeld } from './auditor/audit.ts';
import { DEPLOYMENTS } from './deployment/deployments.ts';
import type { ProcessGroup } from './fleet/processGroup.ts';
import { runWithProcesses } from './fleet/runWithProcesses.ts';
import { findingLines, refusalLines, slowestLines } from './report/findingLines.ts';
import { organisationTable } from './report/organisationTable.ts';
import type { DeploymentResult } from './runDeployment.ts';
import { runDeployment } from './runDeployment.ts';

/** The demo must end within 60 s; the remaining 6 s are for stopping the processes. */
const RUN_LIMIT_MS = 54_000;

const EMPTY_SUMMARY: AuditSummary = {
  answered: 0,
  refused: 0,
  overspendMicros: 0,
  billedTwice: 0,
  ranTwice: 0,
  lost: 0,
  falseRefusals: 0,
  wrongAnswers: 0,
  untruthfulRefusals: 0,
  unexplainedCharges: 0,
  shareMismatches: 0,
};

interface DemoResult {
  readonly exitCode: number;
  /** Printed after all processes have ended, so that scripts can read it from the last line. */
  readonly lastLine: string;
}

const INCOMPLETE_RUN_LINE = JSON.stringify({ ...EMPTY_SUMMARY, promisesHeld: false, completed: false });

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Runs all deployments concurrently. Returns exit code 0 only if the promises held in every deployment. */
export async function runDemo(): Promise<number> {
  const startMs = Date.now();
  const result = await runWithProcesses<DemoResult>(
    {
      folderPrefix: 'pimentostall-demo-',
      // Process names such as "platform" and "link" repeat, so each deployment has its own group.
      names: DEPLOYMENTS.map(({ name }) => name),
      limitMs: RUN_LIMIT_MS,
      print,
      succeeded: ({ exitCode }) => exitCode === 0,
    },
    runDeployments,
  );
  print(`the demo took ${Date.now() - startMs} ms`);
  print(result?.lastLine ?? INCOMPLETE_RUN_LINE);
  return result?.exitCode ?? 1;
}

async function runDeployments(groups: readonly ProcessGroup[]): Promise<DemoResult> {
  const runs = DEPLOYMENTS.flatMap((deployment, index) => {
    const processes = groups[index];
    return processes === undefined ? [] : [runDeployment(deployment, processes, print)];
  });
  return reportResults(await Promise.all(runs));
}

function reportResults(results: readonly DeploymentResult[]): DemoResult {
  for (const result of results) {
    print(`\n${result.deployment.name}\n${organisationTable(result)}`);
    const { calls } = result.evidence;
    [...findingLines(result.report), ...refusalLines(calls), ...slowestLines(calls)].forEach(print);
  }
  const held = results.every(({ summary }) => promisesHeld(summary));
  const total = results.map(({ summary }) => summary).reduce(addSummaries, EMPTY_SUMMARY);
  const lastLine = JSON.stringify({ ...total, promisesHeld: held, completed: true });
  return { exitCode: held ? 0 : 1, lastLine };
}
