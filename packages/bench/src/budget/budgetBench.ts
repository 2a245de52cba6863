import type { BenchOptions } from './options.ts';
import { parseOptions } from './options.ts';
import { formatTable, createSummary } from './report.ts';
import type { BenchTask } from './runTask.ts';
import { runTasks } from './runTasks.ts';
import { ScenarioName, StrategyName } from './types.ts';

const USAGE_EXIT_CODE = 2;

/** The longest scenario comes first, so that it is not left running alone at the end. */
const SCENARIO_ORDER: readonly ScenarioName[] = [
  ScenarioName.RegionCut,
  ...Object.values(ScenarioName).filter((name) => name !== ScenarioName.RegionCut),
];

function planTasks({ seeds, requests, core }: BenchOptions): BenchTask[] {
  return SCENARIO_ORDER.flatMap((scenario) =>
    Object.values(StrategyName).flatMap((strategy) =>
      Array.from({ length: seeds }, (_, index) => ({ scenario, strategy, seed: index + 1, requests, core })),
    ),
  );
}

async function main(options: BenchOptions): Promise<void> {
  const startedAtMs = Date.now();
  const results = await runTasks(planTasks(options));
  console.log(`medians over seeds 1 to ${options.seeds}, ${options.requests} requests in each scenario`);
  console.log(formatTable(results));
  console.log(`${results.length} runs in ${((Date.now() - startedAtMs) / 1_000).toFixed(1)} s`);
  console.log(JSON.stringify(createSummary(results)));
}

const options = parseOptions(process.argv.slice(2));
if (options.isErr()) {
  console.error(options.error);
  process.exitCode = USAGE_EXIT_CODE;
} else {
  await main(options.value);
}
