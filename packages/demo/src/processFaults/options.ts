import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { FaultScenario } from './types.ts';

export interface ProcessFaultOptions {
  /** First of the 1,300 ports that the deployments use. */
  readonly basePort: number;
  /** The only scenario to run; all scenarios if undefined. */
  readonly only: FaultScenario | undefined;
  /** Number of scenarios that run concurrently. */
  readonly laneCount: number;
}

export const DEFAULT_OPTIONS: ProcessFaultOptions = {
  basePort: 18_000,
  only: undefined,
  // Three deployments have about 45 processes. Four overload the machine while they start.
  laneCount: 3,
};

const MIN_BASE_PORT = 1_024;
/** Keeps the deployments below the ephemeral ports that Linux uses for outgoing connections. */
const MAX_BASE_PORT = 31_000;
const MAX_LANES = 4;

export function parseOptions(raw: {
  readonly basePort?: unknown;
  readonly only?: unknown;
  readonly lanes?: unknown;
}): Result<ProcessFaultOptions, string> {
  const basePort = Number(raw.basePort ?? DEFAULT_OPTIONS.basePort);
  if (!Number.isInteger(basePort) || basePort < MIN_BASE_PORT || basePort > MAX_BASE_PORT) {
    return err(`--base-port must be a whole number from ${MIN_BASE_PORT} to ${MAX_BASE_PORT}`);
  }
  const laneCount = Number(raw.lanes ?? DEFAULT_OPTIONS.laneCount);
  if (!Number.isInteger(laneCount) || laneCount < 1 || laneCount > MAX_LANES) {
    return err(`--lanes must be a whole number from 1 to ${MAX_LANES}`);
  }
  const scenarios = Object.values(FaultScenario);
  const only = scenarios.find((scenario) => scenario === raw.only);
  if (raw.only !== undefined && only === undefined) {
    return err(`--only must be one of ${scenarios.join(', ')}`);
  }
  return ok({ basePort, only, laneCount });
}
