import type { EngineLoad } from '@pimentostall/core';
import { hash32 } from '@pimentostall/core';
import type { CacheEvent, SimulatedEngine } from './simulatedEngine.ts';

interface LoadSnapshot {
  readonly atMs: number;
  readonly runningCount: number;
  readonly queuedCount: number;
}

export interface LoadReporterOptions {
  readonly loadLagMs: number;
  /** Delay of the cache events. */
  readonly cacheEventLagMs: number;
  /** Each report contains all cache events of this window, because several routers read the reports. */
  readonly cacheEventWindowMs: number;
  /** About one in this many hashes is never reported; 0 reports all. */
  readonly cacheEventGap: number;
}

export const DEFAULT_LOAD_REPORTER_OPTIONS: LoadReporterOptions = {
  loadLagMs: 500,
  cacheEventLagMs: 1_000,
  cacheEventWindowMs: 5_000,
  cacheEventGap: 5,
};

const MAX_REPORTED_HASHES = 256;

/** Produces load reports that lag behind the engine and have delayed, incomplete cache events. */
export class LoadReporter {
  readonly #options: LoadReporterOptions;
  #snapshots: LoadSnapshot[] = [];

  constructor(options: Partial<LoadReporterOptions> = {}) {
    this.#options = { ...DEFAULT_LOAD_REPORTER_OPTIONS, ...options };
  }

  observe(model: SimulatedEngine, atMs: number): void {
    const { runningCount, queuedCount } = model;
    this.#snapshots.push({ atMs, runningCount, queuedCount });
  }

  report(events: readonly CacheEvent[], leaving: boolean, nowMs: number): EngineLoad {
    const visible = this.#snapshots.filter(({ atMs }) => atMs <= nowMs - this.#options.loadLagMs);
    const latest = visible.at(-1);
    // Snapshots before the latest visible one are no longer needed.
    this.#snapshots = this.#snapshots.slice(Math.max(0, visible.length - 1));
    return {
      runningCount: latest?.runningCount ?? 0,
      queuedCount: latest?.queuedCount ?? 0,
      leaving,
      ageMs: latest === undefined ? this.#options.loadLagMs : nowMs - latest.atMs,
      cachedPrefixHashes: this.#reportedHashes(events, nowMs),
    };
  }

  #reportedHashes(events: readonly CacheEvent[], nowMs: number): string[] {
    const { cacheEventLagMs, cacheEventWindowMs, cacheEventGap } = this.#options;
    const windowEndMs = nowMs - cacheEventLagMs;
    const inWindow = events.filter(
      ({ atMs }) => atMs <= windowEndMs && atMs > windowEndMs - cacheEventWindowMs,
    );
    const hashes = inWindow.flatMap((event) => event.hashes);
    const reportedHashes = hashes.filter((hash) => cacheEventGap === 0 || hash32(hash) % cacheEventGap !== 0);
    return reportedHashes.slice(-MAX_REPORTED_HASHES);
  }
}
