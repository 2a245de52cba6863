/** An organisation's totals over all routers, as its row in the store holds them. */
export interface BudgetTotal {
  /** Tokens debited from the budget: spent by routers, in their shares, or stranded. */
  readonly grantedTokens: number;
  /** Tokens that routers have reported as spent; the true figure is this or more. */
  readonly settledTokens: number;
  /** Tokens of dead routers that may have been spent without a report. */
  readonly strandedTokens: number;
}

/** What a router has drawn from a budget in its present life. */
export interface ShareRecord {
  /** Life of the router that the amounts belong to. */
  readonly incarnationId: string;
  /** Tokens drawn so far, less those returned. */
  readonly grantedTokens: number;
  readonly settledTokens: number;
  /** Tokens that the router may have spent in all, unless the store is silent (release.ts). */
  readonly limitTokens: number;
  /** Tokens by which the limit rises for each second of the store's silence. */
  readonly releaseTokensPerSecond: number;
}

/** Both rows with the versions that a change must expect; version 0 stands for a row that does not exist. */
export interface LedgerSnapshot {
  readonly totalVersion: number;
  readonly total: BudgetTotal;
  readonly shareVersion: number;
  /** Undefined if the router has no row yet. */
  readonly share: ShareRecord | undefined;
}

/** One transaction on the two rows, or on the share's row alone. */
export interface LedgerChange {
  readonly base: LedgerSnapshot;
  /** Undefined if the totals stay as they are: the change then meets no conflict with other routers. */
  readonly total: BudgetTotal | undefined;
  readonly share: ShareRecord;
}

export enum LedgerOutcomeKind {
  Committed = 'committed',
  /** The rows had changed; the outcome holds them as they are now. */
  Conflict = 'conflict',
  /** The store stated that it did nothing. */
  Rejected = 'rejected',
  /** No answer: the change may have been made, or may be made later while its versions hold. */
  Unknown = 'unknown',
}

export type LedgerOutcome =
  | { readonly kind: LedgerOutcomeKind.Committed; readonly rowVersion: number }
  | { readonly kind: LedgerOutcomeKind.Conflict; readonly snapshot: LedgerSnapshot }
  | { readonly kind: LedgerOutcomeKind.Rejected; readonly detail: string }
  | { readonly kind: LedgerOutcomeKind.Unknown; readonly detail: string };

/** Where budgets are kept. */
export interface LedgerStore {
  /**
   * Makes a change if both rows still have the versions of its base. Does not reject.
   *
   * @param urgent true if requests wait for it; other changes leave a part of the rate of writes to urgent ones.
   */
  commit(organisationName: string, change: LedgerChange, urgent: boolean): Promise<LedgerOutcome>;
}

export const EMPTY_TOTAL: BudgetTotal = { grantedTokens: 0, settledTokens: 0, strandedTokens: 0 };

export const EMPTY_SNAPSHOT: LedgerSnapshot = {
  totalVersion: 0,
  total: EMPTY_TOTAL,
  shareVersion: 0,
  share: undefined,
};
