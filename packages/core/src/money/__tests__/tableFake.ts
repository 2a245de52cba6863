import assert from 'node:assert/strict';
import type { JsonValue, TableOutcome, TableRow, TableTransaction } from '../../types/table.ts';
import { TableOutcomeKind } from '../../types/table.ts';

interface Amounts {
  readonly fundedMicros: number;
  readonly allocatedMicros: number;
  readonly settledMicros: number;
  readonly heldMicros: number;
  readonly grantedMicros: number;
  readonly returnedMicros: number;
}

/** An in-memory table with compare-and-set; it checks the money invariants after every commit. */
export class TableFake {
  readonly rows = new Map<string, TableRow>();
  commitCount = 0;

  read(keys: readonly string[]): TableOutcome {
    return { kind: TableOutcomeKind.Rows, rows: keys.flatMap((key) => this.rows.get(key) ?? []) };
  }

  scan(prefix: string): TableOutcome {
    const rows = [...this.rows.values()].filter((row) => row.key.startsWith(prefix));
    return { kind: TableOutcomeKind.Rows, rows };
  }

  commit({ checks, writes }: TableTransaction): TableOutcome {
    if (checks.some((check) => (this.rows.get(check.key)?.version ?? 0) !== check.expectedVersion)) {
      return { kind: TableOutcomeKind.Conflict, rows: checks.flatMap(({ key }) => this.rows.get(key) ?? []) };
    }
    for (const { key, value } of writes) {
      if (value === undefined) {
        this.rows.delete(key);
      } else {
        this.rows.set(key, { key, value, version: (this.rows.get(key)?.version ?? 0) + 1 });
      }
    }
    this.commitCount += 1;
    this.assertInvariants();
    return { kind: TableOutcomeKind.Committed };
  }

  amounts(key: string): Amounts {
    return this.rows.get(key)?.value as unknown as Amounts;
  }

  put(key: string, value: JsonValue): void {
    this.rows.set(key, { key, value, version: (this.rows.get(key)?.version ?? 0) + 1 });
  }

  private assertInvariants(): void {
    for (const key of this.rows.keys()) {
      if (key.startsWith('budget/')) {
        this.assertBudget(key.slice('budget/'.length));
      }
    }
  }

  private assertBudget(organisationId: string): void {
    const budget = this.amounts(`budget/${organisationId}`);
    const claimedMicros = budget.settledMicros + budget.allocatedMicros + budget.heldMicros;
    assert.ok(
      claimedMicros <= budget.fundedMicros,
      `${organisationId}: ${claimedMicros} of ${budget.fundedMicros} micros`,
    );
    const shares = [...this.rows.keys()].filter((key) => key.startsWith(`share/${organisationId}/`));
    const outstandingMicros = shares.map((key) => {
      const share = this.amounts(key);
      return share.grantedMicros - share.settledMicros - share.returnedMicros;
    });
    assert.ok(outstandingMicros.every((micros) => micros >= 0));
    assert.equal(
      outstandingMicros.reduce((sum, micros) => sum + micros, 0),
      budget.allocatedMicros,
    );
  }
}
