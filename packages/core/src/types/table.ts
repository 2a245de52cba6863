/** A JSON value as the table stores it. */
export type JsonValue =
  string | number | boolean | null | readonly JsonValue[] | { readonly [field: string]: JsonValue };

/** A row of the transactional table. Versions start at 1 and grow by 1 with each write of the row. */
export interface TableRow {
  readonly key: string;
  readonly version: number;
  readonly value: JsonValue;
}

/** Version that a check uses to require that the row does not exist. */
export const ABSENT_ROW_VERSION = 0;

export interface RowCheck {
  readonly key: string;
  readonly expectedVersion: number;
}

export interface RowWrite {
  readonly key: string;
  /** undefined deletes the row. */
  readonly value: JsonValue | undefined;
}

/** Applied as a whole if every checked row has its expected version; otherwise nothing is written. */
export interface TableTransaction {
  readonly checks: readonly RowCheck[];
  readonly writes: readonly RowWrite[];
}

export enum TableOutcomeKind {
  Rows = 'rows',
  Committed = 'committed',
  Conflict = 'conflict',
  Unknown = 'unknown',
}

/**
 * The outcome of a table call. `Unknown` means that no answer came: a commit may or may not have taken effect.
 * Rows that do not exist are missing from `rows`.
 */
export type TableOutcome =
  | { readonly kind: TableOutcomeKind.Rows; readonly rows: readonly TableRow[] }
  | { readonly kind: TableOutcomeKind.Committed }
  | { readonly kind: TableOutcomeKind.Conflict; readonly rows: readonly TableRow[] }
  | { readonly kind: TableOutcomeKind.Unknown };
