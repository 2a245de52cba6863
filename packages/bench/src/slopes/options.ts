import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

export interface SlopeOptions {
  /** A short run over the smallest sizes, which only verifies that every measurement works. */
  readonly quick: boolean;
  /** Number of measurements of each size; the median is reported. */
  readonly repeats: number;
}

export const DEFAULT_OPTIONS: SlopeOptions = { quick: false, repeats: 3 };

export function completeOptions(options: Partial<SlopeOptions>): Result<SlopeOptions, string> {
  const complete = { ...DEFAULT_OPTIONS, ...options };
  return Number.isSafeInteger(complete.repeats) && complete.repeats > 0
    ? ok(complete)
    : err(`repeats must be a positive integer, but is ${complete.repeats}.`);
}

/** The sizes to measure; a quick run is limited to the two smallest. */
export function selectSizes({ quick }: SlopeOptions, sizes: readonly number[]): readonly number[] {
  return quick ? sizes.slice(0, 2) : sizes;
}
