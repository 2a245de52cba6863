import type { HistogramSeries } from './histogramSeries.ts';

type Labels = Readonly<Record<string, string>>;

const QUANTILES = [0.5, 0.95, 0.99];
const MS_PER_SECOND = 1_000;

function escapeLabel(value: string): string {
  return value.replaceAll('\\', '\\\\').replaceAll('"', '\\"').replaceAll('\n', '\\n');
}

function formatLabels(labels: Labels): string {
  const pairs = Object.entries(labels).map(([name, value]) => `${name}="${escapeLabel(value)}"`);
  return `{${pairs.join(',')}}`;
}

export function headerLines(name: string, type: 'counter' | 'summary'): string[] {
  return [`# TYPE ${name} ${type}`];
}

export function counterLine(name: string, labels: Labels, total: number): string {
  return `${name}${formatLabels(labels)} ${total}`;
}

/** Formats a histogram as a Prometheus summary with quantiles and sum in seconds. */
export function histogramLines(name: string, labels: Labels, series: HistogramSeries): string[] {
  const quantiles = QUANTILES.map((quantile) => {
    const quantileLabels = formatLabels({ ...labels, quantile: String(quantile) });
    return `${name}${quantileLabels} ${series.quantileMs(quantile) / MS_PER_SECOND}`;
  });
  const seriesLabels = formatLabels(labels);
  return [
    ...quantiles,
    `${name}_sum${seriesLabels} ${series.totalMs / MS_PER_SECOND}`,
    `${name}_count${seriesLabels} ${series.count}`,
  ];
}
