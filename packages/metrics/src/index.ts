export type { HistogramShape } from './histogramSeries.ts';
export { DEFAULT_HISTOGRAM_SHAPE, HistogramSeries } from './histogramSeries.ts';
export type { Measurement } from './metricsRegistry.ts';
export { MetricsRegistry } from './metricsRegistry.ts';
