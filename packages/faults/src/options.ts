import type { CoreOptions } from '@pimentostall/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

/** Core options of the fault matrix: shorter than the defaults, so that the deadlines pass within a run. */
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
/** Longer than the request deadlines and the reclaim of a frozen router's share. */
export const FREEZE_MS = 25_000;
export const REGION_CUT_MS = 20_000;
export const STORE_DOWN_MS = 15_000;
export const STORE_SLOW_MS = 15_000;
export const STORE_SLOW_DELAY_MS = 1_500;
export const REORDER_DELAY_MS = 400;
/** Long enough that a delayed peer message arrives after the next configuration change, with an older revision. */
export const PEER_REORDER_DELAY_MS = 2_000;
export const MEMBERSHIP_LAG_MS = 3_000;
/** Time after which the VM of a crashed router is replaced. */
export const REPLACE_AFTER_MS = 4_000;
/** Longest time between two steps of a core. */
export const MAX_STEP_GAP_MS = 250;
/** End of the regular traffic; only the late chats of the scenario start after it. */
export const TRAFFIC_END_MS = 16_000;
/** End of the run, when its history is checked. */
export const RUN_END_MS = 110_000;

export interface MatrixOptions {
  readonly runs: number;
  readonly seed: number;
}

export const DEFAULT_OPTIONS: MatrixOptions = { runs: 200, seed: 1 };

/** Reads `--runs N --seed S`. */
export function parseOptions(args: readonly string[]): Result<MatrixOptions, string> {
  let options = DEFAULT_OPTIONS;
  for (let index = 0; index < args.length; index += 2) {
    const name = args[index];
    const value = Number(args[index + 1]);
    if ((name !== '--runs' && name !== '--seed') || !Number.isSafeInteger(value) || value < 0) {
      return err(
        `Unexpected "${args.slice(index, index + 2).join(' ')}". Use --runs N --seed S with whole numbers.`,
      );
    }
    options = name === '--runs' ? { ...options, runs: value } : { ...options, seed: value };
  }
  return ok(options);
}
