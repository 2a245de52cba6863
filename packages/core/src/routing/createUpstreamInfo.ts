import { PrefixCacheEstimate } from './prefixCacheEstimate.ts';
import type { UpstreamInfo } from './types.ts';

/** An upstream of which nothing is known yet. */
export function createUpstreamInfo(address: string): UpstreamInfo {
  return {
    address,
    ownInFlightCount: 0,
    load: undefined,
    loadReadAtMs: 0,
    leaving: false,
    leavingSeenAtMs: -Infinity,
    consecutiveFailures: 0,
    ejectionsInRow: 0,
    ejectedUntilMs: 0,
    prefixes: new PrefixCacheEstimate(),
  };
}
