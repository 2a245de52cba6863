import type { Scenario } from './types.ts';
import { EngineUpset } from './types.ts';

const small: Scenario = {
  name: 'shared8',
  routerCount: 8,
  engineCount: 12,
  requestCount: 1_000,
  sharedPrefixes: true,
  maxOutputTokens: 24,
  cacheEventLagMs: 1_000,
  cacheEventGap: 5,
  upset: EngineUpset.None,
};

const large: Scenario = {
  ...small,
  name: 'shared350',
  routerCount: 350,
  engineCount: 600,
  requestCount: 4_000,
  // Short answers let the batches turn over several times within a bounded number of tokens.
  maxOutputTokens: 12,
};

export const SCENARIOS: readonly Scenario[] = [
  small,
  { ...small, name: 'plain8', sharedPrefixes: false },
  // A load report is old for short answers and fresh for long ones.
  { ...small, name: 'longAnswers8', requestCount: 300, maxOutputTokens: 200 },
  {
    ...small,
    name: 'longPlain8',
    requestCount: 300,
    maxOutputTokens: 200,
    sharedPrefixes: false,
  },
  { ...small, name: 'lateCacheEvents8', cacheEventLagMs: 5_000, cacheEventGap: 2 },
  { ...small, name: 'slowEngine8', upset: EngineUpset.Slow },
  { ...small, name: 'deadEngine8', upset: EngineUpset.Dead },
  { ...small, name: 'leavingEngine8', upset: EngineUpset.Leaving },
  large,
  { ...large, name: 'plain350', sharedPrefixes: false },
];
