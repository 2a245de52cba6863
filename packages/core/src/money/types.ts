import type { Channel } from '../scheduler/channel.ts';
import type { UsageRecord } from '../types/messages.ts';

/** This router's part of an organisation's budget, as last read from the table, and what is spent of it. */
export interface Share {
  readonly organisationId: string;
  grantedMicros: number;
  settledMicros: number;
  returnedMicros: number;
  sequence: number;
  /** Sum of the amounts of open reservations and of usage that is not settled yet. */
  committedMicros: number;
  demandMicrosPerSecond: number;
  lastUsedAtMs: number;
}

/** Worst-case amount set aside for one request. */
export interface Reservation {
  readonly requestId: string;
  readonly organisationId: string;
  readonly incarnationId: string;
  readonly amountMicros: number;
}

/** A copy of a peer's record. */
export interface CopiedRecord {
  readonly record: UsageRecord;
  readonly receivedAtMs: number;
}

export interface MoneyState {
  /** By organisation identifier. */
  readonly shares: Map<string, Share>;
  /** This router's own unresolved records, by request identity. */
  readonly ownRecords: Map<string, UsageRecord>;
  /** Copies held for peers, by incarnation and request identity joined with a slash. */
  readonly copies: Map<string, CopiedRecord>;
  /** Wakes the draw controller when a reservation finds its share short. */
  readonly drawRequests: Channel<string>;
}
