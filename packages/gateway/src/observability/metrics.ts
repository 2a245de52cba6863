import { HistogramSeries } from '@pimentostall/metrics';

export interface RequestMeasurement {
  readonly organisation: string;
  readonly route: string;
  readonly outcome: string;
  readonly firstDataMs: number | undefined;
  readonly totalMs: number;
}

/** Maximum number of label sets, which bounds memory; label sets beyond it share one series. */
const MAX_SERIES = 4_096;
const OVERFLOW_LABEL = 'other';
const QUANTILES = [0.5, 0.95, 0.99];

/** Latency histograms per organisation and route, and counters, in the Prometheus text format. */
export class GatewayMetrics {
  private readonly firstData = new Map<string, HistogramSeries>();
  private readonly total = new Map<string, HistogramSeries>();
  private readonly counters = new Map<string, number>();

  recordRequest(measurement: RequestMeasurement): void {
    const { organisation, route, outcome, firstDataMs, totalMs } = measurement;
    const labels = `organisation="${organisation}",route="${route}"`;
    if (firstDataMs !== undefined) {
      getOrCreateSeries(this.firstData, labels).record(firstDataMs);
    }
    getOrCreateSeries(this.total, labels).record(totalMs);
    this.count('pimentostall_requests_total', `${labels},outcome="${outcome}"`);
  }

  count(name: string, labels = '', amount = 1): void {
    const key = labels === '' ? name : `${name}{${labels}}`;
    const boundedKey =
      this.counters.has(key) || this.counters.size < MAX_SERIES ? key : `${name}{${OVERFLOW_LABEL}="1"}`;
    this.counters.set(boundedKey, (this.counters.get(boundedKey) ?? 0) + amount);
  }

  prometheusText(): string {
    const lines = [
      ...histogramLines('pimentostall_first_data_ms', this.firstData),
      ...histogramLines('pimentostall_request_ms', this.total),
      ...[...this.counters].map(([key, value]) => `${key} ${value}`),
    ];
    return `${lines.join('\n')}\n`;
  }
}

function getOrCreateSeries(map: Map<string, HistogramSeries>, labels: string): HistogramSeries {
  const key =
    map.has(labels) || map.size < MAX_SERIES
      ? labels
      : `organisation="${OVERFLOW_LABEL}",route="${OVERFLOW_LABEL}"`;
  const existing = map.get(key);
  if (existing !== undefined) {
    return existing;
  }
  const series = new HistogramSeries();
  map.set(key, series);
  return series;
}

function histogramLines(name: string, map: Map<string, HistogramSeries>): string[] {
  return [...map].flatMap(([labels, series]) => [
    ...QUANTILES.map(
      (quantile) => `${name}{${labels},quantile="${quantile}"} ${series.quantileMs(quantile)}`,
    ),
    `${name}_sum{${labels}} ${series.totalMs}`,
    `${name}_count{${labels}} ${series.count}`,
  ]);
}
