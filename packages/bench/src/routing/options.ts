import { DEFAULT_CORE_OPTIONS } from '@pimentostall/core';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { SimulatedEngineOptions } from '@pimentostall/standins';

/** Close to the target of 30 ms between tokens with a full batch. */
export const ENGINE_OPTIONS: SimulatedEngineOptions = {
  maxRunning: 8,
  maxQueued: 64,
  prefillMsPerBlock: 4,
  tokenIntervalMs: 20,
  tokenIntervalPerSequenceMs: 1,
  // Holds 14 of the long prompts, fewer than the prefixes in use for each engine and its own suffixes.
  cacheBlocks: 400,
  unreadLimitMs: Infinity,
  // A finished sequence is read at the time of its last token; keeping it longer only slows the model.
  keepMs: 1,
};

export const LOAD_FRACTION = 0.8;
export const SHARED_BLOCKS = 24;
export const OWN_BLOCKS = 4;
export const SLOW_FACTOR = 3;
/** Part of the run after which the figures count and engines die or leave. */
export const WARM_UP_FRACTION = 0.3;
export const PROBE_INTERVAL_MS = DEFAULT_CORE_OPTIONS.probeIntervalMs;
/** As in `probeController`. */
export const MAX_PROBES_PER_INTERVAL = 12;
export const OBSERVE_INTERVAL_MS = 100;
export const FAR_ENGINE_COST_MS = DEFAULT_CORE_OPTIONS.farEngineCostMs;
export const MAX_CONCURRENT = 64;

export interface RoutingBenchOptions {
  readonly seeds: number;
  /** Multiplies the number of requests of each scenario. */
  readonly scale: number;
  /** Runs only the scenarios with this text in their name. */
  readonly only: string;
}

export const DEFAULT_OPTIONS: RoutingBenchOptions = { seeds: 3, scale: 1, only: '' };

/** Reads `--seeds N --scale F --only TEXT`. */
export function parseOptions(words: readonly string[]): Result<RoutingBenchOptions, string> {
  let options = DEFAULT_OPTIONS;
  for (let index = 0; index < words.length; index += 2) {
    const name = words[index];
    const value = Number(words[index + 1]);
    if (name === '--seeds' && Number.isSafeInteger(value) && value > 0) {
      options = { ...options, seeds: value };
    } else if (name === '--only' && words[index + 1] !== undefined) {
      options = { ...options, only: words[index + 1] ?? '' };
    } else if (name === '--scale' && value > 0 && value <= 1) {
      options = { ...options, scale: value };
    } else {
      const given = words.slice(index, index + 2).join(' ');
      return err(
        `Unexpected "${given}". Use --seeds N (a whole number) --scale F (above 0, at most 1) and --only TEXT.`,
      );
    }
  }
  return ok(options);
}
