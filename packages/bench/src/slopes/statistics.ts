/** The middle value, or the mean of the two middle values if their number is even. */
export function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  const upper = Math.floor(sorted.length / 2);
  const high = sorted[upper] ?? NaN;
  return sorted.length % 2 === 1 ? high : ((sorted[upper - 1] ?? NaN) + high) / 2;
}

export interface Point {
  readonly size: number;
  readonly value: number;
}

export interface Line {
  readonly slope: number;
  readonly intercept: number;
}

const mean = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

/** Least-squares line; for a single size, the line through the origin. */
export function fitLine(points: readonly Point[]): Line {
  const meanSize = mean(points.map(({ size }) => size));
  const meanValue = mean(points.map(({ value }) => value));
  const squaredDeviations = points.reduce((sum, { size }) => sum + (size - meanSize) ** 2, 0);
  if (squaredDeviations === 0) {
    return { slope: meanValue / meanSize, intercept: 0 };
  }
  const crossDeviations = points.reduce(
    (sum, { size, value }) => sum + (size - meanSize) * (value - meanValue),
    0,
  );
  const slope = crossDeviations / squaredDeviations;
  return { slope, intercept: meanValue - slope * meanSize };
}
