import type { Channel } from '../scheduler/channel.ts';
import type { UsageRecord } from '../types/messages.ts';

/** The share of an organisation's budget that this router may spend: its row as last read, and local usage. */
export interface Share {
  readonly organisationId: string;
  grantedMicros: number;
  settledMicros: number;
  returnedMicros: number;
  sequence: number;
  /** Sum of open reservations and of unsettled usage. */
  committedMicros: number;
  /** Amount of a return whose outcome is still unknown; it must not be spent. */
  pendingReturnMicros: number;
  demandMicrosPerSecond: number;
  /** Amount reserved minus amount released since the last update of the demand estimate. */
  recentMicros: number;
  /** Largest worst case of a request so far. */
  worstCaseMicros: number;
  lastUsedAtMs: number;
  /** Monotonic time at which the share rose above twice its target; undefined while it is below. */
  excessSinceMs: number | undefined;
}

/** Worst-case amount reserved for one request. */
export interface Reservation {
  readonly requestId: string;
  readonly organisationId: string;
  readonly incarnationId: string;
  readonly amountMicros: number;
}

/** A copy of a record that a peer owns. */
export interface CopiedRecord {
  readonly record: UsageRecord;
  readonly receivedAtMs: number;
  /** VM of the owner, for checks against the membership list. */
  readonly ownerVmId: string;
  /** Peer address of the owner, for asking whether the record is still open. */
  readonly ownerPeerAddress: string;
}

/** Decaying sums of settled amounts, from which this router's fraction of an organisation's demand is estimated. */
export interface PortionEstimate {
  ownMicros: number;
  totalMicros: number;
  lastOwnMicros: number;
  /** undefined until the rows have been read once. */
  lastTotalMicros: number | undefined;
  atMs: number;
}

/** State of an organisation's budget as of the last synchronisation with the table. */
export interface OrganisationLedger {
  /** True while a synchronisation runs: at most one task of a router writes the rows of an organisation. */
  busy: boolean;
  /** True if the store answered the last synchronisation. */
  reachable: boolean;
  /** Unallocated part of the budget as last read. */
  freeMicros: number;
  heldMicros: number;
  /** Unallocated amount plus all outstanding shares; Infinity before the first read. */
  leftMicros: number;
  readonly portion: PortionEstimate;
  /** Top-ups that the budget row is known to include. */
  readonly appliedTopUpIds: Set<string>;
  lastSettleAtMs: number;
  /** Monotonic time before which a synchronisation that got no answer is not retried. */
  retryAtMs: number;
}

/** A pending reservation that waits for a draw or a release. */
export interface ShareWaiter {
  readonly amountMicros: number;
  readonly channel: Channel<undefined>;
}

/** A peer's reply to a record query or to a request for the open records of an incarnation. */
export interface RecordsReply {
  readonly records: readonly UsageRecord[];
  readonly running: boolean;
}

export interface MoneyState {
  /** Shares of the current incarnation, by organisation identifier. */
  readonly shares: Map<string, Share>;
  /** Unresolved records that this process owns, by record key (incarnation, organisation, request identity). */
  readonly ownRecords: Map<string, UsageRecord>;
  /** Copies held for peers, by record key. */
  readonly copies: Map<string, CopiedRecord>;
  /** Organisations to synchronise now, for instance because a reservation exceeds the available share. */
  readonly drawRequests: Channel<string>;
  readonly organisations: Map<string, OrganisationLedger>;
  /** Pending reservations, by organisation identifier. */
  readonly waiters: Map<string, Set<ShareWaiter>>;
  /** Channels of the tasks that wait until a record is copied or settled, by record key. */
  readonly recordWaiters: Map<string, Set<Channel<undefined>>>;
  /** Incarnations of the peers that acknowledged the current state of an owned record, by record key. */
  readonly acknowledgedBy: Map<string, Set<string>>;
  /** Channels for the replies of peers, by query identifier. */
  readonly queries: Map<string, Channel<RecordsReply>>;
  /** Monotonic times at which records were resolved, by record key, so that a late copy is not stored again. */
  readonly resolvedAtMs: Map<string, number>;
  /** Keys of copies that this router settles: their owner is fenced, gone or absent, or this router drains. */
  readonly orphanKeys: Set<string>;
  /** Incarnations suspected dead, with the monotonic time of the first suspicion. */
  readonly suspectSinceMs: Map<string, number>;
  /** Incarnations whose reclaim by this router is in progress. */
  readonly reclaiming: Set<string>;
  /** All incarnations of this process, past and present. */
  readonly ownIncarnationIds: Set<string>;
  /** Incarnation whose router row is known to exist; undefined until then. */
  registeredIncarnationId: string | undefined;
  /** Number of pauses; an answer from before a pause must not confirm the incarnation after it. */
  pauseCount: number;
  /** Monotonic time of the last pause; -Infinity if there was none. */
  pausedAtMs: number;
  readonly confirmRequests: Channel<undefined>;
  /** True while the router drains: it returns its shares and draws no more. */
  returning: boolean;
}
