import { Channel } from '../scheduler/channel.ts';
import type { RoutingState } from './types.ts';

export function createRoutingState(): RoutingState {
  return { upstreams: new Map(), probeRequests: new Channel(), appliedListReadAtMs: undefined };
}
