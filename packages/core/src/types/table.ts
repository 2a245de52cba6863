/** A JSON value as the table stores it. */
export type JsonValue =
  string | number | boolean | null | readonly JsonValue[] | { readonly [field: string]: JsonValue };

/** A row of the transactional table. Versions start at 1 and increase by 1 with each write. */
export interface TableRow {
  readonly key: string;
  readonly version: number;
  readonly value: JsonValue;
}

/** Expected version in a check that requires the row to be absent. */
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

/** Applied atomically if every checked row has its expected version; otherwise nothing is written. */
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
 * The outcome of a table call. `Unknown` means that no answer arrived, so a commit may or may not have taken
 * effect. `rows` omits rows that do not exist.
 */
export type TableOutcome =
  | { readonly kind: TableOutcomeKind.Rows; readonly rows: readonly TableRow[] }
  | { readonly kind: TableOutcomeKind.Committed }
  | { readonly kind: TableOutcomeKind.Conflict; readonly rows: readonly TableRow[] }
  | { readonly kind: TableOutcomeKind.Unknown };
