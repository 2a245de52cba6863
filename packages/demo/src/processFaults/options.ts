import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { FaultScenario } from './types.ts';

export interface ProcessFaultOptions {
  /** The ports of the fleets lie in the 1,300 ports from here. */
  readonly basePort: number;
  /** Runs only this scenario. */
  readonly only: FaultScenario | undefined;
  /** Fleets that run at the same time. */
  readonly laneCount: number;
}

export const DEFAULT_OPTIONS: ProcessFaultOptions = {
  basePort: 18_000,
  only: undefined,
  // Four fleets took the whole machine while they started; three take about 45 processes.
  laneCount: 3,
};

const MIN_BASE_PORT = 1_024;
/** Above lie the ports that Linux gives to outgoing connections. */
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
