import type { VmRow } from '../types/membership.ts';
import type { PeerSender, RouterState, ShareLevel } from '../types/messages.ts';

/** The state of another router according to its heartbeats. */
export interface PeerInfo {
  readonly sender: PeerSender;
  state: RouterState;
  callerAddress: string;
  configurationRevision: number;
  openRequestCount: number;
  shareLevels: readonly ShareLevel[];
  /** Monotonic time of the last heartbeat. */
  heardAtMs: number;
}

/** The membership list combined with heartbeats. */
export interface MembershipView {
  /** Peers by peer address. */
  readonly peers: Map<string, PeerInfo>;
  /** Latest rows of the platform's list, by VM identifier. */
  vms: ReadonlyMap<string, VmRow>;
  /** Monotonic time of the last successful read; undefined before the first one. */
  listReadAtMs: number | undefined;
  /** Monotonic time since which each previously listed VM has been absent; undefined while it is listed. */
  readonly absentSinceMs: Map<string, number | undefined>;
}
