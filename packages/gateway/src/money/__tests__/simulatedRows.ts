import { NEVER_VERSION, toPosition } from '../../storeEra/storePosition.ts';
import type { RouterEntry } from '../../types.ts';
import type { LivenessRecord } from '../liveness.ts';
import type { BudgetTotal, LedgerChange, LedgerOutcome, LedgerSnapshot, ShareRecord } from '../types.ts';
import { EMPTY_TOTAL, LedgerOutcomeKind } from '../types.ts';

interface Row<T> {
  readonly version: number;
  readonly value: T;
}

/** What the store holds at a moment. */
export interface RowsCopy {
  readonly version: number;
  readonly total: Row<BudgetTotal> | undefined;
  readonly shares: ReadonlyMap<number, Row<ShareRecord>>;
  readonly records: ReadonlyMap<number, LivenessRecord>;
  readonly closedEras: ReadonlySet<number>;
  readonly routerRows: ReadonlyMap<number, RouterEntry>;
}

/** Rows of a simulated store, which can come back from a copy. */
export class SimulatedRows {
  readonly commits = { committed: 0, conflict: 0, rejected: 0 };
  total: Row<BudgetTotal> | undefined;
  records = new Map<number, LivenessRecord>();
  routerRows = new Map<number, RouterEntry>();
  private version = 0;
  private shares = new Map<number, Row<ShareRecord>>();
  private closedEras = new Set<number>();

  /** @param storeEra number of returns from a copy; undefined for a store that does not state it */
  constructor(public storeEra: number | undefined) {}

  takeCopy(): RowsCopy {
    const { closedEras, records, routerRows, shares, total, version } = this;
    return {
      version,
      total,
      shares: new Map(shares),
      records: new Map(records),
      closedEras: new Set(closedEras),
      routerRows: new Map(routerRows),
    };
  }

  /** The store comes back from a copy: what was written since is lost, and its versions are given out again. */
  returnFromCopy({ closedEras, records, routerRows, shares, total, version }: RowsCopy): void {
    this.version = version;
    this.total = total;
    this.shares = new Map(shares);
    this.records = new Map(records);
    this.closedEras = new Set(closedEras);
    this.routerRows = new Map(routerRows);
    this.storeEra = (this.storeEra ?? 0) + 1;
  }

  private position(version: number): number {
    return version === 0 ? 0 : (toPosition(this.storeEra, version) ?? NEVER_VERSION);
  }

  apply(
    routerIndex: number,
    change: LedgerChange,
    sent: Pick<LedgerSnapshot, 'shareVersion' | 'totalVersion'>,
    knownEra: number | undefined,
  ): LedgerOutcome {
    const share = this.shares.get(routerIndex);
    const totalMoved = change.total !== undefined && (this.total?.version ?? 0) !== sent.totalVersion;
    const isClosed = change.share.storeEra !== undefined && this.closedEras.has(change.share.storeEra);
    if (isClosed || totalMoved || (share?.version ?? 0) !== sent.shareVersion) {
      this.commits.conflict += 1;
      const rows = { shareVersion: this.position(share?.version ?? 0), share: share?.value };
      return {
        kind: LedgerOutcomeKind.Conflict,
        // The store only returns the rows whose versions were part of the change.
        snapshot:
          change.total === undefined
            ? { ...change.base, ...rows }
            : {
                totalVersion: this.position(this.total?.version ?? 0),
                total: this.total?.value ?? EMPTY_TOTAL,
                ...rows,
              },
      };
    }
    this.commits.committed += 1;
    this.version += 1;
    if (change.total !== undefined) {
      this.total = { version: this.version, value: change.total };
    }
    this.shares.set(routerIndex, { version: this.version, value: change.share });
    change.closedEras?.forEach((era) => this.closedEras.add(era));
    return knownEra === this.storeEra
      ? { kind: LedgerOutcomeKind.Committed, rowVersion: this.position(this.version) }
      : { kind: LedgerOutcomeKind.Unknown, detail: 'applied after a return' };
  }
}
