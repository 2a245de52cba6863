import type { EngineLoad } from '../types/requests.ts';

/** What this router knows of one upstream. */
export interface UpstreamInfo {
  readonly address: string;
  ownInFlightCount: number;
  load: EngineLoad | undefined;
  loadReadAtMs: number;
  /** Set at the first sign that the upstream leaves; it gets no new work. */
  leaving: boolean;
  consecutiveFailures: number;
  ejectedUntilMs: number;
}

export interface RoutingState {
  /** By address. */
  readonly upstreams: Map<string, UpstreamInfo>;
}
