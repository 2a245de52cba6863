import { build } from 'hdr-histogram-js';
import { CallOutcome } from '../auditor/types.ts';
import { answeredCalls, fundedMicrosAt } from '../auditor/usage.ts';
import type { DeploymentResult } from '../runDeployment.ts';

const HEADINGS = [
  'organisation',
  'funded',
  'spent',
  'answered',
  'refused',
  'false',
  'p50 ms',
  'p95 ms',
  'p99 ms',
];
const PERCENTILES = [50, 95, 99];

function createRow({ evidence, report }: DeploymentResult, organisationId: string): string[] {
  const calls = evidence.calls.filter((call) => call.organisationId === organisationId);
  const answered = answeredCalls(evidence, organisationId);
  const histogram = build();
  for (const { startedAtMs, endedAtMs } of answered) {
    histogram.recordValue(Math.max(1, endedAtMs - startedAtMs));
  }
  const refused = calls.filter(
    ({ outcome }) => outcome === CallOutcome.RefusedNotRun || outcome === CallOutcome.RefusedMayHaveRun,
  );
  const figures = [
    fundedMicrosAt(evidence.funding, organisationId, Infinity),
    evidence.budgets.find((budget) => budget.organisationId === organisationId)?.settledMicros ?? 0,
    answered.length,
    refused.length,
    report.falseRefusals.filter((finding) => finding.organisationId === organisationId).length,
    ...PERCENTILES.map((percentile) => histogram.getValueAtPercentile(percentile)),
  ];
  return [organisationId, ...figures.map(String)];
}

/** Formats one row for each organisation: amounts in micros, durations over all attempts of a request. */
export function organisationTable(result: DeploymentResult): string {
  const ids = [...new Set(result.evidence.funding.map(({ organisationId }) => organisationId))];
  const rows = [HEADINGS, ...ids.map((id) => createRow(result, id))];
  const widths = HEADINGS.map((_, column) => Math.max(...rows.map((row) => row[column]?.length ?? 0)));
  const lines = rows.map((row) =>
    row.map((cell, column) => padCell(cell, widths[column] ?? 0, column > 0)).join('  '),
  );
  return lines.join('\n');
}

function padCell(cell: string, width: number, isNumber: boolean): string {
  return isNumber ? cell.padStart(width) : cell.padEnd(width);
}
