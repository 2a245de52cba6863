import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

export interface RouterBenchOptions {
  readonly basePort: number;
  /**
   * Additional routers in the region, which hold the copies of reservations and usage records. Without them, each
   * usage record is settled in the table before the last byte is sent, which puts the store on the request path.
   */
  readonly peerCount: number;
  /** Pairs of runs (pipe and router) for each of the two metrics. */
  readonly runs: number;
  readonly runMs: number;
}

export const DEFAULT_OPTIONS: RouterBenchOptions = { basePort: 18_000, peerCount: 2, runs: 4, runMs: 2_500 };

/** Keeps the whole benchmark below about 60 s. */
const MAX_TOTAL_RUN_MS = 50_000;
/** Two metrics, each measured for two variants. */
const RUNS_PER_REPETITION = 4;

export function parseOptions(raw: Readonly<Record<string, unknown>>): Result<RouterBenchOptions, string> {
  const basePort = Number(raw.basePort ?? DEFAULT_OPTIONS.basePort);
  const peerCount = Number(raw.peers ?? DEFAULT_OPTIONS.peerCount);
  const runs = Number(raw.runs ?? DEFAULT_OPTIONS.runs);
  const runMs = Number(raw.runMs ?? DEFAULT_OPTIONS.runMs);
  if (![basePort, peerCount, runs, runMs].every((value) => Number.isInteger(value) && value >= 0)) {
    return err('every option must be a non-negative integer');
  }
  if (basePort < 1_024 || basePort > 31_000 || peerCount > 2) {
    return err('--base-port must be between 1024 and 31000, and --peers between 0 and 2');
  }
  if (runs < 1 || runMs < 500 || runs * runMs * RUNS_PER_REPETITION > MAX_TOTAL_RUN_MS) {
    return err(`--runs times --run-ms times ${RUNS_PER_REPETITION} must not exceed ${MAX_TOTAL_RUN_MS} ms`);
  }
  return ok({ basePort, peerCount, runs, runMs });
}
