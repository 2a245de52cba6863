import type { ProcessGroup } from '../fleet/processGroup.ts';
import { runWithProcesses } from '../fleet/runWithProcesses.ts';
import type { ProcessFaultOptions } from './options.ts';
import { lastLine, scenarioTable } from './report.ts';
import { runScenario } from './runScenario.ts';
import { SCENARIOS } from './scenarios.ts';
import type { ScenarioResult } from './types.ts';

/** The run must end within about 3 minutes, including the time to stop the processes. */
const RUN_LIMIT_MS = 175_000;
const MAX_NOTES = 16;

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Runs the scenarios, `laneCount` at a time. Returns exit code 0 only if no scenario has a violation. */
export async function runProcessFaults(options: ProcessFaultOptions): Promise<number> {
  const plans = SCENARIOS.filter(({ scenario }) => options.only === undefined || options.only === scenario);
  const results: ScenarioResult[] = [];
  const completedResults = await runWithProcesses(
    {
      folderPrefix: 'pimentostall-process-faults-',
      names: plans.map(({ scenario }) => scenario),
      limitMs: RUN_LIMIT_MS,
      print,
      succeeded: hasNoViolations,
    },
    async (groups) => {
      await runLanes(groups, options, results);
      return results;
    },
  );
  results.forEach(printDetails);
  print(`\n${scenarioTable(results)}`);
  print(lastLine(results, completedResults !== undefined));
  return completedResults !== undefined && hasNoViolations(results) ? 0 : 1;
}

function hasNoViolations(results: readonly ScenarioResult[]): boolean {
  return results.every(({ violations }) => violations.length === 0);
}

/** Runs the scenarios in concurrent lanes; each lane takes the next scenario from a shared queue. */
async function runLanes(
  groups: readonly ProcessGroup[],
  { only, basePort, laneCount }: ProcessFaultOptions,
  results: ScenarioResult[],
): Promise<void> {
  const plans = SCENARIOS.filter(({ scenario }) => only === undefined || only === scenario);
  const queue = [...plans.entries()];
  const lane = async () => {
    for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
      const [index, plan] = next;
      const processes = groups[index];
      if (processes !== undefined) {
        results.push(await runScenario(plan, processes, basePort, print));
      }
    }
  };
  await Promise.all(Array.from({ length: laneCount }, lane));
}

function printDetails({ scenario, violations, notes }: ScenarioResult): void {
  const lines = [...violations.map((text) => `VIOLATION ${text}`), ...notes].slice(0, MAX_NOTES);
  lines.forEach((line) => {
    print(`${scenario}: ${line}`);
  });
}
