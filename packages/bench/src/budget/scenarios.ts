import type { Scenario } from './types.ts';
import { ScenarioName } from './types.ts';

const MINUTE_MS = 60_000;
/** Allows the cores to read the configuration and apply the first top-ups, which takes a few seconds. */
const FIRST_REQUEST_MS = 10_000;
/** Time after the last request for the remaining answers and retries and for the settlement of their usage. */
const SETTLING_MS = 60_000;

interface ScenarioSetup {
  readonly trafficMs: number;
  readonly cut?: { readonly fromMs: number; readonly untilMs: number };
  readonly storeOutage?: { readonly fromMs: number; readonly untilMs: number };
  readonly topUpAtMs?: number;
  readonly routerCrashAtMs?: number;
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
    routerCrashAtMs: 6 * MINUTE_MS,
  },
};

export function createScenario(name: ScenarioName): Scenario {
  const { trafficMs, cut, storeOutage, topUpAtMs, routerCrashAtMs } = SETUPS[name];
  const lastRequestMs = FIRST_REQUEST_MS + trafficMs;
  return {
    name,
    firstRequestMs: FIRST_REQUEST_MS,
    lastRequestMs,
    endMs: lastRequestMs + SETTLING_MS,
    cut,
    storeOutage,
    topUpAtMs,
    routerCrashAtMs,
  };
}

/** Time until a crashed router is replaced. */
export const REPLACE_AFTER_MS = MINUTE_MS;

export function isWithin(span: Scenario['cut'], nowMs: number): boolean {
  return span !== undefined && nowMs >= span.fromMs && nowMs < span.untilMs;
}
