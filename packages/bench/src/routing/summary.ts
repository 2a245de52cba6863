import { median, rounded } from '../common/statistics.ts';
import type { RunFigures, RunResult } from './types.ts';
import { ChooserKind } from './types.ts';

export interface TtftRatios {
  readonly vsLeastLoaded: number;
  readonly vsRoundRobin: number;
  readonly vsRandom: number;
}

const FIGURE_NAMES = [
  'ttftP50Ms',
  'ttftP95Ms',
  'ttftP99Ms',
  'tokenIntervalP95Ms',
  'hitRate',
  'imbalance',
  'refusedCount',
  'lostCount',
] as const satisfies readonly (keyof RunFigures)[];

function medianOf(results: readonly RunResult[], name: keyof RunFigures): number {
  return median(results.map(({ figures }) => figures[name]));
}

function scenarioNames(results: readonly RunResult[]): string[] {
  return [...new Set(results.map(({ plan }) => plan.scenario.name))];
}

/** Formats the medians over the seeds as a Markdown table. */
export function formatTable(results: readonly RunResult[]): string {
  const lines = [
    `| scenario | chooser | ${FIGURE_NAMES.join(' | ')} |`,
    `| --- | --- | ${FIGURE_NAMES.map(() => '---').join(' | ')} |`,
  ];
  for (const name of scenarioNames(results)) {
    for (const chooser of Object.values(ChooserKind)) {
      const runs = results.filter(({ plan }) => plan.scenario.name === name && plan.chooser === chooser);
      const cells = FIGURE_NAMES.map((figure) => medianOf(runs, figure).toFixed(2));
      lines.push(`| ${name} | ${chooser} | ${cells.join(' | ')} |`);
    }
  }
  return lines.join('\n');
}

/** Returns, by scenario, the median over the seeds of the core's p95 time to first token relative to each baseline. */
export function ttftP95Ratios(results: readonly RunResult[]): Record<string, TtftRatios> {
  return Object.fromEntries(
    scenarioNames(results).map((name) => {
      const runs = results.filter(({ plan }) => plan.scenario.name === name);
      return [
        name,
        {
          vsLeastLoaded: medianRatioTo(runs, ChooserKind.LeastLoaded),
          vsRoundRobin: medianRatioTo(runs, ChooserKind.RoundRobin),
          vsRandom: medianRatioTo(runs, ChooserKind.Random),
        },
      ];
    }),
  );
}

function medianRatioTo(runs: readonly RunResult[], other: ChooserKind): number {
  const ratios = runs
    .filter(({ plan }) => plan.chooser === ChooserKind.Core)
    .map(({ plan, figures }) => {
      const baseline = runs.find((run) => run.plan.chooser === other && run.plan.seed === plan.seed);
      return figures.ttftP95Ms / Math.max(1, baseline?.figures.ttftP95Ms ?? 0);
    });
  return rounded(median(ratios));
}
