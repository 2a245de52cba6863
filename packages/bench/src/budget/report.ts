import type { TaskResult } from './runTask.ts';
import type { Figures } from './types.ts';
import { ScenarioName, StrategyName } from './types.ts';

const NAME_WIDTH = 16;
const COLUMN_WIDTH = 13;

type FigureName = keyof Figures;

const COLUMNS: readonly { readonly figure: FigureName; readonly title: string; readonly digits: number }[] = [
  { figure: 'overspendMicros', title: 'overspend', digits: 0 },
  { figure: 'falseRefusalRate', title: 'falseRefusal', digits: 5 },
  { figure: 'refusalRate', title: 'refusal', digits: 5 },
  { figure: 'failureRate', title: 'failure', digits: 5 },
  { figure: 'storeWritesPerRequest', title: 'writes/req', digits: 4 },
  { figure: 'storeReadsPerRequest', title: 'reads/req', digits: 4 },
  { figure: 'strandedMicros', title: 'strandedMax', digits: 0 },
  { figure: 'strandedAtEndMicros', title: 'strandedEnd', digits: 0 },
  { figure: 'linkBytesPerRequest', title: 'linkBytes/req', digits: 0 },
];

/** Formats the medians over the seeds as a table with one row per scenario and strategy. */
export function formatTable(results: readonly TaskResult[]): string {
  const header = COLUMNS.map(({ title }) => title.padStart(COLUMN_WIDTH + 1)).join('');
  const lines = Object.values(ScenarioName).flatMap((scenario) => [
    scenario,
    ...Object.values(StrategyName).map((strategy) => {
      const cells = COLUMNS.map(({ figure, digits }) =>
        medianOf(results, scenario, strategy, figure)
          .toFixed(digits)
          .padStart(COLUMN_WIDTH + 1),
      );
      return `  ${strategy.padEnd(NAME_WIDTH)}${cells.join('')}`;
    }),
  ]);
  return [`${' '.repeat(NAME_WIDTH + 2)}${header}`, ...lines].join('\n');
}

/** Creates the machine-readable summary in the last line of the output. */
export function createSummary(results: readonly TaskResult[]): object {
  const scenarios = Object.values(ScenarioName).map((scenario) => {
    const strategies = Object.values(StrategyName).map((strategy) => {
      const median = (figure: FigureName): number => medianOf(results, scenario, strategy, figure);
      return [
        strategy,
        {
          // The maximum, because a median would hide an overspend in a single run.
          overspendMicros: Math.max(...valuesOf(results, scenario, strategy, 'overspendMicros')),
          falseRefusalRate: median('falseRefusalRate'),
          storeWritesPerRequest: median('storeWritesPerRequest'),
          strandedMicros: median('strandedMicros'),
        },
      ] as const;
    });
    return [scenario, Object.fromEntries(strategies)] as const;
  });
  return { scenarios: Object.fromEntries(scenarios) };
}

function medianOf(
  results: readonly TaskResult[],
  scenario: ScenarioName,
  strategy: StrategyName,
  figure: FigureName,
): number {
  const values = valuesOf(results, scenario, strategy, figure).sort((a, b) => a - b);
  const middle = Math.floor(values.length / 2);
  const upper = values[middle] ?? NaN;
  return values.length % 2 === 1 ? upper : ((values[middle - 1] ?? NaN) + upper) / 2;
}

function valuesOf(
  results: readonly TaskResult[],
  scenario: ScenarioName,
  strategy: StrategyName,
  figure: FigureName,
): number[] {
  return results
    .filter(({ task }) => task.scenario === scenario && task.strategy === strategy)
    .map(({ figures }) => figures[figure]);
}
