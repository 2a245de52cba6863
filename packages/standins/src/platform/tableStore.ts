import type {
  JsonValue,
  RowCheck,
  RowWrite,
  TableOutcome,
  TableRow,
  TableTransaction,
} from '@pimentostall/core';
import { ABSENT_ROW_VERSION, TableOutcomeKind } from '@pimentostall/core';

/** Number of operations that the table has executed, by kind. */
export interface TableOperationCounts {
  readonly reads: number;
  readonly scans: number;
  readonly commits: number;
  readonly conflicts: number;
}

/** In-memory transactional table. It does no I/O and reads no clock, so tests can run it deterministically. */
export class TableStore {
  readonly #rows = new Map<string, TableRow>();
  #counts: TableOperationCounts = { reads: 0, scans: 0, commits: 0, conflicts: 0 };

  get counts(): TableOperationCounts {
    return this.#counts;
  }

  /** Returns the existing rows in the order of the keys. */
  read(keys: readonly string[]): TableRow[] {
    this.#counts = { ...this.#counts, reads: this.#counts.reads + 1 };
    return this.#currentRows(keys);
  }

  /** Returns all rows whose key starts with the prefix, ordered by key. */
  scan(keyPrefix: string): TableRow[] {
    this.#counts = { ...this.#counts, scans: this.#counts.scans + 1 };
    return [...this.#rows.values()]
      .filter((row) => row.key.startsWith(keyPrefix))
      .sort((a, b) => (a.key < b.key ? -1 : 1))
      .map(copyRow);
  }

  /** Applies all writes if every check passes; otherwise writes nothing and returns the current checked rows. */
  commit(transaction: TableTransaction): TableOutcome {
    if (!transaction.checks.every((check) => this.#isSatisfied(check))) {
      this.#counts = { ...this.#counts, conflicts: this.#counts.conflicts + 1 };
      const rows = this.#currentRows(transaction.checks.map(({ key }) => key));
      return { kind: TableOutcomeKind.Conflict, rows };
    }
    for (const write of transaction.writes) {
      this.#apply(write);
    }
    this.#counts = { ...this.#counts, commits: this.#counts.commits + 1 };
    return { kind: TableOutcomeKind.Committed };
  }

  #currentRows(keys: readonly string[]): TableRow[] {
    return [...new Set(keys)].flatMap((key) => {
      const row = this.#rows.get(key);
      return row === undefined ? [] : [copyRow(row)];
    });
  }

  #isSatisfied({ key, expectedVersion }: RowCheck): boolean {
    return (this.#rows.get(key)?.version ?? ABSENT_ROW_VERSION) === expectedVersion;
  }

  #apply({ key, value }: RowWrite): void {
    if (value === undefined) {
      this.#rows.delete(key);
      return;
    }
    const version = (this.#rows.get(key)?.version ?? ABSENT_ROW_VERSION) + 1;
    this.#rows.set(key, { key, version, value: copyValue(value) });
  }
}

/** Values are copied on read and write, so that no caller can modify a stored row by reference. */
function copyValue(value: JsonValue): JsonValue {
  return structuredClone(value);
}

function copyRow(row: TableRow): TableRow {
  return { ...row, value: copyValue(row.value) };
}
