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
  /** Amount of a return whose outcome is not known yet; it must not be spent. */
  pendingReturnMicros: number;
  demandMicrosPerSecond: number;
  /** Reserved less given back since the last update of the demand estimate. */
  recentMicros: number;
  /** Largest worst case reserved so far. */
  worstCaseMicros: number;
  lastUsedAtMs: number;
  /** Monotonic time since when the share is above twice its target; undefined while it is not. */
  excessSinceMs: number | undefined;
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
  /** VM of the owner, to look its absence up in the membership list. */
  readonly ownerVmId: string;
  /** Peer address of the owner, to ask whether the record is still open. */
  readonly ownerPeerAddress: string;
}

/** Sums of recent settlements, for this router's part of an organisation's demand. */
export interface PortionEstimate {
  ownMicros: number;
  totalMicros: number;
  lastOwnMicros: number;
  /** undefined until the rows were read once. */
  lastTotalMicros: number | undefined;
  atMs: number;
}

/** What the last synchronisation with the table found for an organisation. */
export interface OrganisationLedger {
  /** A synchronisation runs; the rows of one organisation are written by one task of a router at a time. */
  busy: boolean;
  /** The store answered the last synchronisation. */
  reachable: boolean;
  /** Unallocated remainder as last read. */
  freeMicros: number;
  heldMicros: number;
  /** Funded and not settled or held: the remainder and all shares; Infinity before the first read. */
  leftMicros: number;
  readonly portion: PortionEstimate;
  /** Top-ups known to be applied. */
  readonly appliedTopUpIds: Set<string>;
  lastSettleAtMs: number;
  /** Monotonic time before which an unanswered synchronisation is not repeated. */
  retryAtMs: number;
}

/** A reservation that waits for a draw or a release. */
export interface ShareWaiter {
  readonly amountMicros: number;
  readonly channel: Channel<undefined>;
}

/** A peer's answer to a record query or to a request for the open records of an incarnation. */
export interface RecordsAnswer {
  readonly records: readonly UsageRecord[];
  readonly running: boolean;
}

export interface MoneyState {
  /** Shares of the current incarnation, by organisation identifier. */
  readonly shares: Map<string, Share>;
  /** This process's own unresolved records, by record key (incarnation, organisation, request identity). */
  readonly ownRecords: Map<string, UsageRecord>;
  /** Copies held for peers, by record key. */
  readonly copies: Map<string, CopiedRecord>;
  /** Wakes the draw controller when a reservation finds its share short. */
  readonly drawRequests: Channel<string>;
  readonly organisations: Map<string, OrganisationLedger>;
  /** Reservations that wait, by organisation identifier. */
  readonly waiters: Map<string, Set<ShareWaiter>>;
  /** Tasks that wait until a record is copied or settled, by record key. */
  readonly recordWaiters: Map<string, Set<Channel<undefined>>>;
  /** Peers that acknowledged the current state of an own record, by record key. */
  readonly acknowledgedBy: Map<string, Set<string>>;
  /** Answers of peers, by query identifier. */
  readonly queries: Map<string, Channel<RecordsAnswer>>;
  /** Monotonic times of resolved records, so that a late copy is not stored again. */
  readonly resolvedAtMs: Map<string, number>;
  /** Keys of copies whose owner is fenced or gone: this router settles them. */
  readonly orphanKeys: Set<string>;
  /** Incarnations that look dead, with the monotonic time since when they do. */
  readonly suspectSinceMs: Map<string, number>;
  /** Incarnations that this router reclaims now. */
  readonly reclaiming: Set<string>;
  /** Every incarnation that this process had. */
  readonly ownIncarnationIds: Set<string>;
  /** Incarnation whose router row is known to be written; undefined before. */
  registeredIncarnationId: string | undefined;
  /** Counts pauses, so that an answer from before a pause does not confirm the incarnation after it. */
  pauseCount: number;
  /** Monotonic time of the last pause; -Infinity if there was none. */
  pausedAtMs: number;
  readonly confirmRequests: Channel<undefined>;
  /** The router drains: it returns shares and draws no more. */
  returning: boolean;
}
