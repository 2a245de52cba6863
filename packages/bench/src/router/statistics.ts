export function median(values: readonly number[]): number {
  return percentile(values, 50);
}

/** Nearest-rank percentile. */
export function percentile(values: readonly number[], rank: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.max(0, Math.ceil((rank / 100) * sorted.length) - 1)] ?? NaN;
}

export function round(value: number): number {
  return Math.round(value * 100) / 100;
}
