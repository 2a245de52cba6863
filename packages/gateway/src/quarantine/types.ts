import type { RouterEntry } from '../types.ts';

/** When a quarantined part is tried again. Of two versions of it, the one with the higher revision holds. */
export interface Probation {
  readonly revision: number;
  /** Number of probes that were started. */
  readonly probes: number;
  /** Time until the next request with the part may be sent, from the time at which this was encoded. */
  readonly dueInMs: number;
}

/** An engine that ended with requests that held a suspected part. */
export interface CrashReport {
  readonly ageMs: number;
  /** Deeper parts of these requests, any of which may be the cause as well. */
  readonly deeperPartIds: readonly string[];
}

/** What a router knows about a suspected part, with ages instead of times since routers share no clock. */
export interface SuspectReport {
  readonly partId: string;
  /** The crashes that count against the part, by the id of the engine's incarnation. */
  readonly crashes: Readonly<Record<string, CrashReport>>;
  /** Age of the newest answer that cleared the part; undefined without one. */
  readonly clearedAgeMs: number | undefined;
  readonly probation: Probation | undefined;
}

/** A message between two routers. */
export interface SuspectMessage {
  readonly reports: readonly SuspectReport[];
  /** Asks the receiver for all of its records. */
  readonly wantsReply: boolean;
}

/** Exchanges records of suspects with other routers. */
export interface SuspectPort {
  /** Returns the reply of the peer, or undefined if there is none. */
  exchange(peer: RouterEntry, message: SuspectMessage): Promise<readonly SuspectReport[] | undefined>;
}

/** Keeps the quarantined parts beyond the end of all routers. */
export interface QuarantineStore {
  /** Returns undefined if the store did not reply. */
  read(): Promise<readonly SuspectReport[] | undefined>;
  /** Returns false if the report may not have been stored. */
  write(report: SuspectReport): Promise<boolean>;
  /** Returns false if the part may not have been removed. */
  remove(partId: string): Promise<boolean>;
}
