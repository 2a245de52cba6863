import { DEFAULT_CORE_OPTIONS } from '@pimentostall/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { SimulatedEngineOptions } from '@pimentostall/standins';

/** Gives 27 ms between tokens with a full batch, close to the target of 30 ms. */
export const ENGINE_OPTIONS: SimulatedEngineOptions = {
  maxRunning: 8,
  maxQueued: 64,
  prefillMsPerBlock: 4,
  tokenIntervalMs: 20,
  tokenIntervalPerSequenceMs: 1,
  // Room for 14 long prompts: too little for all shared prefixes and unique suffixes in use on an engine.
  cacheBlocks: 400,
  unreadLimitMs: Infinity,
  // A finished sequence is read when its last token is generated; keeping it longer only slows the simulation.
  keepMs: 1,
};

export const LOAD_FRACTION = 0.8;
export const SHARED_PREFIX_BLOCKS = 24;
export const UNIQUE_SUFFIX_BLOCKS = 4;
export const SLOW_ENGINE_FACTOR = 3;
/** Fraction of the run before measurement starts; engines also crash or start to leave at this point. */
export const WARM_UP_FRACTION = 0.3;
export const PROBE_INTERVAL_MS = DEFAULT_CORE_OPTIONS.probeIntervalMs;
/** Same limit as in `probeController`. */
export const MAX_PROBES_PER_INTERVAL = 12;
export const OBSERVE_INTERVAL_MS = 100;
export const FAR_ENGINE_COST_MS = DEFAULT_CORE_OPTIONS.farEngineCostMs;
export const MAX_CONCURRENT = 64;

export interface RoutingBenchOptions {
  readonly seeds: number;
  /** Multiplies the number of requests of each scenario. */
  readonly scale: number;
  /** Runs only scenarios whose name contains this text. */
  readonly only: string;
}

export const DEFAULT_OPTIONS: RoutingBenchOptions = { seeds: 3, scale: 1, only: '' };

/** Reads `--seeds N --scale F --only TEXT`. */
export function parseOptions(args: readonly string[]): Result<RoutingBenchOptions, string> {
  let options = DEFAULT_OPTIONS;
  for (let index = 0; index < args.length; index += 2) {
    const name = args[index];
    const value = Number(args[index + 1]);
    if (name === '--seeds' && Number.isSafeInteger(value) && value > 0) {
      options = { ...options, seeds: value };
    } else if (name === '--only' && args[index + 1] !== undefined) {
      options = { ...options, only: args[index + 1] ?? '' };
    } else if (name === '--scale' && value > 0 && value <= 1) {
      options = { ...options, scale: value };
    } else {
      const unexpectedArgs = args.slice(index, index + 2).join(' ');
      return err(
        `Unexpected "${unexpectedArgs}". Use --seeds N (a whole number) --scale F (above 0, at most 1) and --only TEXT.`,
      );
    }
  }
  return ok(options);
}
