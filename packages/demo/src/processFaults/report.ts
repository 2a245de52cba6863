import type { ScenarioResult } from './types.ts';

const HEADINGS = [
  'scenario',
  'answered',
  'refused',
  'lost',
  'billed twice',
  'ran twice',
  'overspend',
  'cut off',
  'false refusals',
  'violations',
  'seconds',
];

function createRow({ scenario, summary, cutOff, violations, durationMs }: ScenarioResult): string[] {
  const figures =
    summary === undefined
      ? Array.from({ length: 6 }, () => '-')
      : [
          summary.answered,
          summary.refused,
          summary.lost,
          summary.billedTwice,
          summary.ranTwice,
          summary.overspendMicros,
        ];
  const rest = [cutOff, summary?.falseRefusals ?? '-', violations.length, Math.round(durationMs / 1_000)];
  return [scenario, ...figures, ...rest].map(String);
}

/** Formats a table with one row for each scenario. */
export function scenarioTable(results: readonly ScenarioResult[]): string {
  const rows = [HEADINGS, ...results.map(createRow)];
  const widths = HEADINGS.map((_, column) => Math.max(...rows.map((row) => row[column]?.length ?? 0)));
  const pad = (cell: string, column: number) =>
    column === 0 ? cell.padEnd(widths[column] ?? 0) : cell.padStart(widths[column] ?? 0);
  return rows.map((row) => row.map(pad).join('  ')).join('\n');
}

/** Formats the results of all scenarios as one line of JSON, for scripts. */
export function lastLine(results: readonly ScenarioResult[], completed: boolean): string {
  const scenarios = Object.fromEntries(
    results.map(({ scenario, summary, cutOff, violations }) => {
      return [scenario, { ...summary, cutOff, violations: violations.length }];
    }),
  );
  const violations = results.reduce((sum, result) => sum + result.violations.length, 0);
  return JSON.stringify({ scenarios, violations, completed });
}
