import type { Series, SlopeRow } from './series.ts';
import { slopeRow } from './series.ts';

const SIGNIFICANT_DIGITS = 4;

function formatNumber(value: number): string {
  return Number.isFinite(value) ? String(Number(value.toPrecision(SIGNIFICANT_DIGITS))) : 'none';
}

function rowCells(series: Series, row: SlopeRow): string[] {
  const origin = row.measuredAtTarget ? 'measured' : 'from the line';
  return [
    series.id,
    `${series.quantity} [${series.unit}]`,
    series.sizeUnit,
    row.medians.map(({ size, value }) => `${size}: ${formatNumber(value)}`).join(', '),
    formatNumber(row.slope),
    `${formatNumber(row.atTarget)} at ${row.targetSize} (${origin})`,
  ];
}

const HEADER = ['series', 'quantity', 'size', 'medians', 'slope', 'target'];

/** Formats a text table with aligned columns. */
export function formatTable(all: readonly Series[]): string {
  const rows = [HEADER, ...all.map((series) => rowCells(series, slopeRow(series)))];
  const widths = HEADER.map((_, column) => Math.max(...rows.map((row) => row[column]?.length ?? 0)));
  return rows
    .map((row) =>
      row
        .map((cell, column) => cell.padEnd(widths[column] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}

/** Formats a single line of JSON with the fitted line and the value at the target size of every series. */
export function formatJson(all: readonly Series[], context: Readonly<Record<string, unknown>>): string {
  const slopes = Object.fromEntries(
    all.map((series) => {
      const { slope, intercept, atTarget, targetSize, measuredAtTarget, medians } = slopeRow(series);
      const { unit, sizeUnit } = series;
      return [
        series.id,
        { unit, sizeUnit, slope, intercept, targetSize, atTarget, measuredAtTarget, medians },
      ];
    }),
  );
  return JSON.stringify({ ...context, slopes });
}
