import { PrefixCacheEstimate } from './prefixCacheEstimate.ts';
import type { UpstreamInfo } from './types.ts';

/** Creates the initial state of an upstream that has not been observed yet. */
export function createUpstreamInfo(address: string): UpstreamInfo {
  return {
    address,
    ownInFlightCount: 0,
    load: undefined,
    loadReadAtMs: 0,
    leaving: false,
    leavingSeenAtMs: -Infinity,
    consecutiveFailures: 0,
    consecutiveEjections: 0,
    ejectedUntilMs: 0,
    prefixes: new PrefixCacheEstimate(),
  };
}
