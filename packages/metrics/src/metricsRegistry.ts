import type { Effect, EffectKind } from '@pimentostall/core';
import { MetricKind } from '@pimentostall/core';
import { HistogramSeries } from './histogramSeries.ts';
import { counterLine, headerLines, histogramLines } from './prometheusText.ts';

export type Measurement = Omit<Extract<Effect, { readonly kind: EffectKind.Metric }>, 'kind'>;

interface Series<T> {
  readonly labels: Readonly<Record<string, string>>;
  readonly value: T;
}

/** Bounds memory if label values are unbounded. Further organisations and classes share one series. */
const MAX_SERIES_PER_METRIC = 16_384;
const OVERFLOW_LABEL = 'other';
/** Cannot occur in identifiers. Label names are not part of the key, as all series of a metric share them. */
const LABEL_SEPARATOR = '\u0000';

const HISTOGRAM_NAMES = {
  [MetricKind.TimeToFirstToken]: 'pimentostall_time_to_first_token_seconds',
  [MetricKind.TimeBetweenTokens]: 'pimentostall_time_between_tokens_seconds',
  [MetricKind.TotalTime]: 'pimentostall_request_seconds',
  [MetricKind.QueueWait]: 'pimentostall_queue_wait_seconds',
} as const;

const COUNTER_NAMES = {
  [MetricKind.Answered]: 'pimentostall_answered_total',
  [MetricKind.Refused]: 'pimentostall_refused_total',
} as const;

function findSeries<T>(
  metric: Map<string, Series<T>>,
  labels: Readonly<Record<string, string>>,
  create: () => T,
): Series<T> {
  const key = Object.values(labels).join(LABEL_SEPARATOR);
  const existing = metric.get(key);
  if (existing !== undefined) {
    return existing;
  }
  if (metric.size >= MAX_SERIES_PER_METRIC && labels.organisation !== OVERFLOW_LABEL) {
    return findSeries(metric, { ...labels, organisation: OVERFLOW_LABEL, class: OVERFLOW_LABEL }, create);
  }
  const series = { labels, value: create() };
  metric.set(key, series);
  return series;
}

/** Histograms and counters of one router, labelled by organisation and class. */
export class MetricsRegistry {
  private readonly histograms = new Map<string, Map<string, Series<HistogramSeries>>>();
  private readonly counters = new Map<string, Map<string, Series<{ total: number }>>>();

  record(measurement: Measurement): void {
    const { metric, organisationId, classId, label, value } = measurement;
    const labels = { organisation: organisationId, class: classId };
    switch (metric) {
      case MetricKind.TimeToFirstToken:
      case MetricKind.TimeBetweenTokens:
      case MetricKind.TotalTime:
      case MetricKind.QueueWait:
        this.recordDuration(HISTOGRAM_NAMES[metric], labels, value);
        return;
      case MetricKind.Answered:
      case MetricKind.Refused:
        this.incrementCounter(COUNTER_NAMES[metric], { ...labels, reason: label }, value);
        return;
    }
  }

  /** Returns all series in the Prometheus text format. */
  prometheusText(): string {
    const lines: string[] = [];
    for (const [name, metric] of this.histograms) {
      lines.push(...headerLines(name, 'summary'));
      for (const { labels, value } of metric.values()) {
        lines.push(...histogramLines(name, labels, value));
      }
    }
    for (const [name, metric] of this.counters) {
      lines.push(...headerLines(name, 'counter'));
      for (const { labels, value } of metric.values()) {
        lines.push(counterLine(name, labels, value.total));
      }
    }
    return `${lines.join('\n')}\n`;
  }

  private recordDuration(name: string, labels: Readonly<Record<string, string>>, valueMs: number): void {
    const metric = this.histograms.get(name) ?? new Map<string, Series<HistogramSeries>>();
    this.histograms.set(name, metric);
    findSeries(metric, labels, () => new HistogramSeries()).value.record(valueMs);
  }

  private incrementCounter(name: string, labels: Readonly<Record<string, string>>, value: number): void {
    const metric = this.counters.get(name) ?? new Map<string, Series<{ total: number }>>();
    this.counters.set(name, metric);
    findSeries(metric, labels, () => ({ total: 0 })).value.total += value;
  }
}
