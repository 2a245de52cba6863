/** An organisation's totals across all routers, as stored in its row. */
export interface BudgetTotal {
  /** Tokens debited from the budget: spent by routers, still in their shares, or stranded. */
  readonly grantedTokens: number;
  /** Tokens that routers have reported as spent; the actual amount may be higher. */
  readonly settledTokens: number;
  /** Tokens of terminated router processes that may have been spent without being reported. */
  readonly strandedTokens: number;
}

/** What the current incarnation of a router has drawn from a budget. */
export interface ShareRecord {
  /** Router incarnation that the amounts belong to. */
  readonly incarnationId: string;
  /** Tokens drawn so far, minus tokens returned. */
  readonly grantedTokens: number;
  readonly settledTokens: number;
  /** Upper bound on the tokens spent while the store responds; see release.ts for outages. */
  readonly limitTokens: number;
  /** Rate at which the limit rises while the store does not respond. */
  readonly releaseTokensPerSecond: number;
  /** Era of the store in which the row was written; undefined for a store without eras. */
  readonly storeEra?: number | undefined;
}

/** Both rows with their versions for optimistic locking; version 0 means that the row does not exist. */
export interface LedgerSnapshot {
  readonly totalVersion: number;
  readonly total: BudgetTotal;
  readonly shareVersion: number;
  /** Undefined if the router has no row yet. */
  readonly share: ShareRecord | undefined;
}

/** A transaction on both rows, or on the share row alone. */
export interface LedgerChange {
  readonly base: LedgerSnapshot;
  /** Undefined if the totals do not change; the transaction then cannot conflict with other routers. */
  readonly total: BudgetTotal | undefined;
  readonly share: ShareRecord;
  /** Eras of the store whose changes are refused from this one on, also if the store performs them late. */
  readonly closedEras?: readonly number[];
}

export enum LedgerOutcomeKind {
  Committed = 'committed',
  /** A row version did not match; the outcome holds the current rows. */
  Conflict = 'conflict',
  /** The store reported that it did not apply the change. */
  Rejected = 'rejected',
  /** No reply: the change may have been applied, or may still be applied while its versions match. */
  Unknown = 'unknown',
}

export type LedgerOutcome =
  | { readonly kind: LedgerOutcomeKind.Committed; readonly rowVersion: number }
  | { readonly kind: LedgerOutcomeKind.Conflict; readonly snapshot: LedgerSnapshot }
  | { readonly kind: LedgerOutcomeKind.Rejected; readonly detail: string }
  | { readonly kind: LedgerOutcomeKind.Unknown; readonly detail: string };

/** Which changes give way to others when this router uses up its rate of writes. */
export enum ChangeUrgency {
  /** Returns tokens before the router exits; what is not returned is withheld from the other routers. */
  BeforeExit = 'before-exit',
  /** Requests wait for the change, or spending is above the stored limit. */
  Awaited = 'awaited',
  Deferrable = 'deferrable',
}

/** Persistent storage of budget totals and router shares. */
export interface LedgerStore {
  /**
   * Applies a change if both rows still have the versions of its base. The returned promise never rejects.
   */
  commit(organisationName: string, change: LedgerChange, urgency: ChangeUrgency): Promise<LedgerOutcome>;
}

export const EMPTY_TOTAL: BudgetTotal = { grantedTokens: 0, settledTokens: 0, strandedTokens: 0 };

export const EMPTY_SNAPSHOT: LedgerSnapshot = {
  totalVersion: 0,
  total: EMPTY_TOTAL,
  shareVersion: 0,
  share: undefined,
};
