import type { Scenario } from './types.ts';
import { ScenarioName } from './types.ts';

const MINUTE_MS = 60_000;
/** The cores need a few seconds to read the configuration and to apply the first top-ups. */
const FIRST_REQUEST_MS = 10_000;
/** Time for the last answers and retries, and for the settlement of what they used. */
const QUIET_MS = 60_000;

interface ScenarioSetup {
  readonly trafficMs: number;
  readonly cut?: { readonly fromMs: number; readonly untilMs: number };
  readonly storeOutage?: { readonly fromMs: number; readonly untilMs: number };
  readonly topUpAtMs?: number;
  readonly deathAtMs?: number;
}

const SETUPS: Readonly<Record<ScenarioName, ScenarioSetup>> = {
  [ScenarioName.WholeNetwork]: { trafficMs: 10 * MINUTE_MS },
  [ScenarioName.RegionCut]: {
    trafficMs: 75 * MINUTE_MS,
    cut: { fromMs: 10 * MINUTE_MS, untilMs: 70 * MINUTE_MS },
    topUpAtMs: 40 * MINUTE_MS,
  },
  [ScenarioName.LastToken]: { trafficMs: 10 * MINUTE_MS },
  [ScenarioName.StoreOutage]: {
    trafficMs: 30 * MINUTE_MS,
    storeOutage: { fromMs: 5 * MINUTE_MS, untilMs: 25 * MINUTE_MS },
  },
  [ScenarioName.RouterDeath]: {
    trafficMs: 15 * MINUTE_MS,
    storeOutage: { fromMs: 5 * MINUTE_MS, untilMs: 10 * MINUTE_MS },
    deathAtMs: 6 * MINUTE_MS,
  },
};

export function scenarioOf(name: ScenarioName): Scenario {
  const { trafficMs, cut, storeOutage, topUpAtMs, deathAtMs } = SETUPS[name];
  const lastRequestMs = FIRST_REQUEST_MS + trafficMs;
  return {
    name,
    firstRequestMs: FIRST_REQUEST_MS,
    lastRequestMs,
    endMs: lastRequestMs + QUIET_MS,
    cut,
    storeOutage,
    topUpAtMs,
    deathAtMs,
  };
}

/** A crashed router is replaced after this time. */
export const REPLACE_AFTER_MS = MINUTE_MS;

export function isWithin(span: Scenario['cut'], nowMs: number): boolean {
  return span !== undefined && nowMs >= span.fromMs && nowMs < span.untilMs;
}
