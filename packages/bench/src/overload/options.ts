import type { ClassSection } from '@pimentostall/core';

export const ENGINE_COUNT = 4;
export const ROUTER_COUNT = 2;
/** Batch size of an engine. The routers together send no more than this, so requests queue at the routers. */
export const MAX_RUNNING = 8;
export const MAX_OUTPUT_TOKENS = 24;
export const OVERLOAD_FACTOR = 2;
/** Rate of interactive requests relative to the capacity; batch requests make up the rest of the overload. */
export const INTERACTIVE_FRACTION = 1;
export const CALLER_MAX_TRIES = 4;
export const FAILURE_INTERVAL_MS = 4_000;
export const FAILURE_DURATION_MS = 500;
/** Fraction of new streams that break before their first token while an engine fails. */
export const BROKEN_STREAM_FRACTION = 0.5;
export const MODEL_INTERACTIVE = 'interactive';
export const MODEL_BATCH = 'batch';

export const CLASSES: readonly ClassSection[] = [
  { classId: MODEL_INTERACTIVE, priority: 10, batch: false, maxQueued: 40, deadlineMs: 10_000 },
  { classId: MODEL_BATCH, priority: 1, batch: true, maxQueued: 40, deadlineMs: 30_000 },
];

export interface OverloadOptions {
  readonly seed: number;
  readonly durationMs: number;
}

export const DEFAULT_OPTIONS: OverloadOptions = { seed: 1, durationMs: 20_000 };
export const SEEDS: readonly number[] = [1, 2, 3];
