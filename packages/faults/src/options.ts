import type { CoreOptions } from '@pimentostall/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

/** Timings of the core in the fault matrix: the same order of magnitudes as the defaults, in shorter time. */
export const MATRIX_CORE_OPTIONS: Partial<CoreOptions> = {
  entryKeepMs: 2_000,
  reclaimGraceMs: 6_000,
  fenceWaitMs: 4_000,
  heldLimitMs: 20_000,
  drainLimitMs: 40_000,
  settleIntervalMs: 500,
  idleReturnMs: 8_000,
  nearHorizonMs: 10_000,
  farHorizonMs: 60_000,
};

export const NEAR_LATENCY_MS = 1;
export const FAR_LATENCY_MS = 12;
/** A freeze outlasts every deadline of the core, the reclaim included. */
export const FREEZE_MS = 25_000;
export const CUT_MS = 20_000;
export const STORE_DOWN_MS = 15_000;
export const STORE_SLOW_MS = 15_000;
export const STORE_SLOW_DELAY_MS = 1_500;
export const REORDER_DELAY_MS = 400;
/** A late peer message outlives the next configuration change, so that it arrives with a lower revision. */
export const PEER_REORDER_DELAY_MS = 2_000;
export const MEMBER_LAG_MS = 3_000;
/** A crashed router's VM is replaced after this time. */
export const REPLACE_AFTER_MS = 4_000;
/** The longest that a core is left without a step. */
export const MAX_STEP_GAP_MS = 250;
/** When callers stop sending and when the run is judged. */
export const TRAFFIC_END_MS = 16_000;
export const RUN_END_MS = 110_000;

export interface MatrixOptions {
  readonly runs: number;
  readonly seed: number;
}

export const DEFAULT_OPTIONS: MatrixOptions = { runs: 200, seed: 1 };

/** Reads `--runs N --seed S`. */
export function parseOptions(words: readonly string[]): Result<MatrixOptions, string> {
  let options = DEFAULT_OPTIONS;
  for (let index = 0; index < words.length; index += 2) {
    const name = words[index];
    const value = Number(words[index + 1]);
    if ((name !== '--runs' && name !== '--seed') || !Number.isSafeInteger(value) || value < 0) {
      return err(
        `Unexpected "${words.slice(index, index + 2).join(' ')}". Use --runs N --seed S with whole numbers.`,
      );
    }
    options = name === '--runs' ? { ...options, runs: value } : { ...options, seed: value };
  }
  return ok(options);
}
