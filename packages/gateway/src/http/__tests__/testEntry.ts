import type { UpstreamEntry } from '../../types.ts';
import { UpstreamState } from '../../types.ts';

/** Register entry of an engine that listens at a port of this machine. */
export function createEntry(port: number): UpstreamEntry {
  return {
    upstreamId: 'engine',
    serviceName: 'engines',
    address: `127.0.0.1:${port}`,
    availabilityZone: 'z',
    state: UpstreamState.Ready,
    slots: 1,
    warmupLeftMs: 0,
    startTimeMs: undefined,
    sequence: undefined,
  };
}
