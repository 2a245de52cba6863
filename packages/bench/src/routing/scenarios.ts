import type { Scenario } from './types.ts';
import { EngineFault } from './types.ts';

const smallFleet: Scenario = {
  name: 'shared8',
  routerCount: 8,
  engineCount: 12,
  requestCount: 1_000,
  sharedPrefixes: true,
  maxOutputTokens: 24,
  cacheEventLagMs: 1_000,
  cacheEventGap: 5,
  fault: EngineFault.None,
};

const largeFleet: Scenario = {
  ...smallFleet,
  name: 'shared350',
  routerCount: 350,
  engineCount: 600,
  requestCount: 4_000,
  // Short answers let batches turn over several times while the number of simulated tokens stays bounded.
  maxOutputTokens: 12,
};

export const SCENARIOS: readonly Scenario[] = [
  smallFleet,
  { ...smallFleet, name: 'plain8', sharedPrefixes: false },
  // Load reports are stale relative to short answers and fresh relative to long ones.
  { ...smallFleet, name: 'longAnswers8', requestCount: 300, maxOutputTokens: 200 },
  {
    ...smallFleet,
    name: 'longPlain8',
    requestCount: 300,
    maxOutputTokens: 200,
    sharedPrefixes: false,
  },
  { ...smallFleet, name: 'lateCacheEvents8', cacheEventLagMs: 5_000, cacheEventGap: 2 },
  { ...smallFleet, name: 'slowEngine8', fault: EngineFault.Slow },
  { ...smallFleet, name: 'deadEngine8', fault: EngineFault.Dead },
  { ...smallFleet, name: 'leavingEngine8', fault: EngineFault.Leaving },
  largeFleet,
  { ...largeFleet, name: 'plain350', sharedPrefixes: false },
];
