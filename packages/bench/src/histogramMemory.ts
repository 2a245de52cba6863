// Measures the memory that the histograms of 2,700 organisations with one class each use, for several shapes.
import { seededRandom } from '@pimentostall/core';
import type { HistogramShape } from '@pimentostall/metrics';
import { DEFAULT_HISTOGRAM_SHAPE, HistogramSeries } from '@pimentostall/metrics';

const ORGANISATION_COUNT = 2_700;
const HISTOGRAMS_PER_CLASS = 4;
const VALUES_PER_HISTOGRAM = 200;
const HIGHEST_RECORDED_MS = 60_000;
const BYTES_PER_MEGABYTE = 1_000_000;

function usedBytes(): number {
  globalThis.gc?.();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

/** Records values distributed evenly over the orders of magnitude, so that many buckets are used. */
function fill(series: HistogramSeries, random: () => number): void {
  for (let count = 0; count < VALUES_PER_HISTOGRAM; count += 1) {
    series.record(HIGHEST_RECORDED_MS ** random());
  }
}

/** Retained until the end, because memory freed during a later measurement would be subtracted from it. */
const retained: HistogramSeries[][] = [];

function measureMegabytes(shape: HistogramShape): number {
  const random = seededRandom(1);
  const before = usedBytes();
  const histograms = Array.from(
    { length: ORGANISATION_COUNT * HISTOGRAMS_PER_CLASS },
    () => new HistogramSeries(shape),
  );
  for (const series of histograms) {
    fill(series, random);
  }
  retained.push(histograms);
  const megabytes = (usedBytes() - before) / BYTES_PER_MEGABYTE;
  return Math.round(megabytes * 10) / 10;
}

const shapes: Record<string, HistogramShape> = {
  chosen: DEFAULT_HISTOGRAM_SHAPE,
  twoDigits: { digits: 2, bitBucketSize: 32, highestMs: 600_000 },
  twoDigitsPacked: { digits: 2, bitBucketSize: 'packed', highestMs: 600_000 },
};
const megabytes = Object.fromEntries(
  Object.entries(shapes).map(([name, shape]) => [name, measureMegabytes(shape)]),
);
const collected = globalThis.gc !== undefined;
process.stdout.write(
  `${JSON.stringify({ organisations: ORGANISATION_COUNT, histograms: ORGANISATION_COUNT * HISTOGRAMS_PER_CLASS, collected, megabytes })}\n`,
);
