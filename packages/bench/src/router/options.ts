import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

export interface RouterBenchOptions {
  readonly basePort: number;
  /**
   * Further routers of the region, which hold the copies of reservations and usage records. Without any, each usage
   * record is settled in the table before the last byte, so the store lies on the path.
   */
  readonly peerCount: number;
  /** Pairs of runs (pipe and router) for each of the two figures. */
  readonly runs: number;
  readonly runMs: number;
}

export const DEFAULT_OPTIONS: RouterBenchOptions = { basePort: 18_000, peerCount: 2, runs: 4, runMs: 2_500 };

/** Keeps the whole below about 60 s. */
const MAX_MEASURED_MS = 50_000;
/** Two figures with two variants each. */
const RUN_KINDS = 4;

export function parseOptions(raw: Readonly<Record<string, unknown>>): Result<RouterBenchOptions, string> {
  const basePort = Number(raw.basePort ?? DEFAULT_OPTIONS.basePort);
  const peerCount = Number(raw.peers ?? DEFAULT_OPTIONS.peerCount);
  const runs = Number(raw.runs ?? DEFAULT_OPTIONS.runs);
  const runMs = Number(raw.runMs ?? DEFAULT_OPTIONS.runMs);
  if (![basePort, peerCount, runs, runMs].every((value) => Number.isInteger(value) && value >= 0)) {
    return err('every option must be a whole number');
  }
  if (basePort < 1_024 || basePort > 31_000 || peerCount > 2) {
    return err('--base-port must lie from 1024 to 31000 and --peers from 0 to 2');
  }
  if (runs < 1 || runMs < 500 || runs * runMs * RUN_KINDS > MAX_MEASURED_MS) {
    return err(`--runs times --run-ms times ${RUN_KINDS} must not exceed ${MAX_MEASURED_MS} ms`);
  }
  return ok({ basePort, peerCount, runs, runMs });
}
