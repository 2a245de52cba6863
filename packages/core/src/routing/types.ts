import type { Channel } from '../scheduler/channel.ts';
import type { EngineLoad } from '../types/requests.ts';
import type { PrefixCacheEstimate } from './prefixCacheEstimate.ts';

/** What this router knows about one upstream. */
export interface UpstreamInfo {
  readonly address: string;
  ownInFlightCount: number;
  load: EngineLoad | undefined;
  loadReadAtMs: number;
  /** True once the upstream is known to be leaving; it then gets no new work. */
  leaving: boolean;
  /** When the upstream was last seen to be leaving; only a newer load report clears `leaving`. */
  leavingSeenAtMs: number;
  consecutiveFailures: number;
  /** Ejections since the last success. Each lasts twice as long as the previous one, up to a limit. */
  consecutiveEjections: number;
  ejectedUntilMs: number;
  /** Prompt prefixes that the engine probably has cached. */
  readonly prefixes: PrefixCacheEstimate;
}

export interface RoutingState {
  /** Wakes the probe controller early, because a starting router waits for the first reports. */
  readonly probeRequests: Channel<undefined>;
  /** Upstreams by address. */
  readonly upstreams: Map<string, UpstreamInfo>;
  /** Read time of the membership list that was last applied. */
  appliedListReadAtMs: number | undefined;
}
