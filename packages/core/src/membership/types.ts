import type { VmRow } from '../types/membership.ts';
import type { PeerSender, RouterState, ShareLevel } from '../types/messages.ts';

/** What is known of another router from its heartbeats. */
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
  /** By peer address. */
  readonly peers: Map<string, PeerInfo>;
  /** Latest rows of the platform's list, by VM identifier. */
  vms: ReadonlyMap<string, VmRow>;
  /** Monotonic time of the last successful read; undefined before the first. */
  listReadAtMs: number | undefined;
  /** VMs that were listed once, with the monotonic time since when they are absent (undefined while listed). */
  readonly absentSinceMs: Map<string, number | undefined>;
}
