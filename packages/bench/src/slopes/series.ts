import type { Line } from './statistics.ts';
import { fitLine, median } from './statistics.ts';

/** One quantity, measured several times at each of several sizes. */
export interface Series {
  /** Stable name; docs/CAPACITY.md refers to it. */
  readonly id: string;
  readonly quantity: string;
  readonly unit: string;
  readonly sizeUnit: string;
  /** Size at the target of section 1.7 of the design page. */
  readonly targetSize: number;
  readonly points: readonly { readonly size: number; readonly values: readonly number[] }[];
}

export interface SlopeRow extends Line {
  readonly id: string;
  readonly medians: readonly { readonly size: number; readonly value: number }[];
  readonly targetSize: number;
  /** The measured median if the target size was measured, otherwise the value of the fitted line. */
  readonly atTarget: number;
  readonly measuredAtTarget: boolean;
}

export function slopeRow({ id, points, targetSize }: Series): SlopeRow {
  const medians = points.map(({ size, values }) => ({ size, value: median(values) }));
  const line = fitLine(medians);
  const measured = medians.find(({ size }) => size === targetSize);
  return {
    id,
    medians,
    ...line,
    targetSize,
    atTarget: measured?.value ?? line.intercept + line.slope * targetSize,
    measuredAtTarget: measured !== undefined,
  };
}

/**
 * Measures each size several times. Each repetition covers all sizes, so that noise affects them alike. A warm-up with
 * the smallest size comes first, because code that is not compiled yet would distort the first measurements.
 */
export function measureSizes<T extends string>(
  sizes: readonly number[],
  repeats: number,
  measure: (size: number) => Readonly<Record<T, number>>,
): (name: T) => Series['points'] {
  if (repeats > 1 && sizes[0] !== undefined) {
    measure(sizes[0]);
  }
  const results = sizes.map((size) => ({ size, samples: [] as Readonly<Record<T, number>>[] }));
  for (let repeat = 0; repeat < repeats; repeat += 1) {
    for (const { size, samples } of results) {
      samples.push(measure(size));
    }
  }
  return (name) => results.map(({ size, samples }) => ({ size, values: samples.map((each) => each[name]) }));
}
