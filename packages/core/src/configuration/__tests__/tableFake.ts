import type { Effect } from '../../types/effects.ts';
import { EffectKind } from '../../types/effects.ts';
import type { JsonValue, TableOutcome, TableRow, TableTransaction } from '../../types/table.ts';
import { TableOutcomeKind } from '../../types/table.ts';

/** An in-memory table that can inject the faults that the configuration code must tolerate. */
export class TableFake {
  readonly rows = new Map<string, TableRow>();
  down = false;
  /** Number of commits that are applied but whose reply is lost. */
  loseReplies = 0;
  /** If set, the store goes down right after the next commit. */
  downAfterCommit = false;
  /** Called once before the next commit, to simulate a concurrent change. */
  beforeCommit: (() => void) | undefined;
  /** Called once after the next scan. */
  afterScan: (() => void) | undefined;

  put(key: string, value: JsonValue): void {
    this.rows.set(key, { key, version: (this.rows.get(key)?.version ?? 0) + 1, value });
  }

  /** Returns the outcome of a table effect, or undefined for other effects. */
  answer(effect: Effect): TableOutcome | undefined {
    if (this.down) {
      return 'callId' in effect ? { kind: TableOutcomeKind.Unknown } : undefined;
    }
    switch (effect.kind) {
      case EffectKind.TableRead:
        return this.rowsMatching((key) => effect.keys.includes(key));
      case EffectKind.TableScan: {
        const outcome = this.rowsMatching((key) => key.startsWith(effect.keyPrefix));
        const hook = this.afterScan;
        this.afterScan = undefined;
        hook?.();
        return outcome;
      }
      case EffectKind.TableCommit:
        return this.commit(effect.transaction);
      default:
        return undefined;
    }
  }

  private rowsMatching(matches: (key: string) => boolean): TableOutcome {
    return { kind: TableOutcomeKind.Rows, rows: [...this.rows.values()].filter((row) => matches(row.key)) };
  }

  private commit({ checks, writes }: TableTransaction): TableOutcome {
    const hook = this.beforeCommit;
    this.beforeCommit = undefined;
    hook?.();
    if (checks.some((check) => (this.rows.get(check.key)?.version ?? 0) !== check.expectedVersion)) {
      const keys = checks.map((check) => check.key);
      return { kind: TableOutcomeKind.Conflict, rows: keys.flatMap((key) => this.rows.get(key) ?? []) };
    }
    for (const { key, value } of writes) {
      if (value === undefined) {
        this.rows.delete(key);
      } else {
        this.put(key, value);
      }
    }
    this.loseReplies -= 1;
    this.down = this.downAfterCommit;
    this.downAfterCommit = false;
    return { kind: this.loseReplies >= 0 ? TableOutcomeKind.Unknown : TableOutcomeKind.Committed };
  }
}
