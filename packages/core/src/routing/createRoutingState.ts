import type { RoutingState } from './types.ts';

export function createRoutingState(): RoutingState {
  return { upstreams: new Map(), appliedListReadAtMs: undefined };
}
