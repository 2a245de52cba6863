import type { Channel } from '../scheduler/channel.ts';
import type { EngineLoad } from '../types/requests.ts';
import type { PrefixCacheEstimate } from './prefixCacheEstimate.ts';

/** What this router knows of one upstream. */
export interface UpstreamInfo {
  readonly address: string;
  ownInFlightCount: number;
  load: EngineLoad | undefined;
  loadReadAtMs: number;
  /** Set at the first sign that the upstream leaves; it gets no new work. */
  leaving: boolean;
  /** When the last sign of leaving was seen; only a younger load report takes the sign back. */
  leavingSeenAtMs: number;
  consecutiveFailures: number;
  /** Ejections since the last success; each is twice as long as the one before. */
  ejectionsInRow: number;
  ejectedUntilMs: number;
  /** Prompt prefixes that the engine probably has in its cache. */
  readonly prefixes: PrefixCacheEstimate;
}

export interface RoutingState {
  /** Wakes the probe controller before its interval is over: a starting router waits for the first reports. */
  readonly probeRequests: Channel<undefined>;
  /** By address. */
  readonly upstreams: Map<string, UpstreamInfo>;
  /** When the membership list was read whose signs of leaving are applied. */
  appliedListReadAtMs: number | undefined;
}
