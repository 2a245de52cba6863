/** The smallest value that at least the given fraction of the values does not exceed; 0 without values. */
export function quantile(values: readonly number[], fraction: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.max(0, Math.ceil(sorted.length * fraction) - 1);
  return sorted[index] ?? 0;
}

export function median(values: readonly number[]): number {
  return quantile(values, 0.5);
}

export function mean(values: readonly number[]): number {
  return values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length;
}

const DECIMALS = 1_000;

/** Three decimals are enough for a ratio of noisy figures. */
export function rounded(value: number): number {
  return Math.round(value * DECIMALS) / DECIMALS;
}
