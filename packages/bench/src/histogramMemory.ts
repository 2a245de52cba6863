// Measures the memory of the histograms of 2,700 organisations with one class each, for several shapes.
import { seededRandom } from '@pimentostall/core';
import type { HistogramShape } from '@pimentostall/metrics';
import { DEFAULT_HISTOGRAM_SHAPE, HistogramSeries } from '@pimentostall/metrics';

const ORGANISATIONS = 2_700;
const HISTOGRAMS_PER_CLASS = 4;
const VALUES_PER_HISTOGRAM = 200;
const HIGHEST_RECORDED_MS = 60_000;
const BYTES_PER_MEGABYTE = 1_000_000;

function heldBytes(): number {
  globalThis.gc?.();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

/** Values spread evenly over the orders of magnitude, so that many buckets are used. */
function fill(series: HistogramSeries, random: () => number): void {
  for (let count = 0; count < VALUES_PER_HISTOGRAM; count += 1) {
    series.record(HIGHEST_RECORDED_MS ** random());
  }
}

/** Kept to the end: memory freed during a later measurement would be subtracted from it. */
const retained: HistogramSeries[][] = [];

function measureMegabytes(shape: HistogramShape): number {
  const random = seededRandom(1);
  const before = heldBytes();
  const all = Array.from({ length: ORGANISATIONS * HISTOGRAMS_PER_CLASS }, () => new HistogramSeries(shape));
  for (const series of all) {
    fill(series, random);
  }
  retained.push(all);
  const megabytes = (heldBytes() - before) / BYTES_PER_MEGABYTE;
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
  `${JSON.stringify({ organisations: ORGANISATIONS, histograms: ORGANISATIONS * HISTOGRAMS_PER_CLASS, collected, megabytes })}\n`,
);
