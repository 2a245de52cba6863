import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

export interface SlopeOptions {
  /** A short run over the smaller sizes, which shows only that every measurement works. */
  readonly quick: boolean;
  /** Measurements of each size; the median counts. */
  readonly repeats: number;
}

export const DEFAULT_OPTIONS: SlopeOptions = { quick: false, repeats: 3 };

export function completeOptions(options: Partial<SlopeOptions>): Result<SlopeOptions, string> {
  const complete = { ...DEFAULT_OPTIONS, ...options };
  return Number.isSafeInteger(complete.repeats) && complete.repeats > 0
    ? ok(complete)
    : err(`repeats must be a positive integer, but is ${complete.repeats}.`);
}

/** The sizes to measure: a quick run takes the two smallest. */
export function sizesOf({ quick }: SlopeOptions, sizes: readonly number[]): readonly number[] {
  return quick ? sizes.slice(0, 2) : sizes;
}
