import type { LivenessRecord } from '../liveness.ts';
import type { BudgetTotal, LedgerChange, LedgerOutcome, ShareRecord } from '../types.ts';
import { ChangeUrgency, EMPTY_TOTAL, LedgerOutcomeKind } from '../types.ts';
import type { Timeline } from './timeline.ts';

const CALL_MS = 4;
/** The transactions of one part run one after another. */
const TRANSACTION_MS = 5;
/** Time after which a call without a reply ends. */
const TIMEOUT_MS = 900;
/** Writes of all routers per second, of which routers use the fraction that platform/src/createContext.ts defines. */
const WRITES_PER_SECOND = 1_200 * 0.8;
/** Fraction of a router's rate that writes of an urgency leave to others; as in platform/src/storeClient.ts. */
const RESERVED_FRACTIONS: Readonly<Record<ChangeUrgency, number>> = {
  [ChangeUrgency.BeforeExit]: 0,
  [ChangeUrgency.Awaited]: 0.25,
  [ChangeUrgency.Deferrable]: 0.5,
};

interface Row<T> {
  readonly version: number;
  readonly value: T;
}

interface Bucket {
  available: number;
  refilledAtMs: number;
}

/** A store with one part per organisation, latency, a queue per part and a rate of writes per router. */
export class LoadedStore {
  reachable = true;
  /** Budget changes by outcome; `withheld` ones were not sent because their router had used up its rate. */
  readonly counts = { committed: 0, conflict: 0, withheld: 0, liveness: 0, totals: 0 };
  private version = 0;
  private readonly totals = new Map<string, Row<BudgetTotal>>();
  private readonly shares = new Map<string, Row<ShareRecord>>();
  private readonly records = new Map<number, LivenessRecord>();
  private readonly partBusyUntilMs = new Map<string, number>();
  private readonly buckets = new Map<number, Bucket>();

  constructor(
    private readonly timeline: Timeline,
    private readonly routerCount: number,
    private readonly isReplyLost: () => boolean,
  ) {}

  total(organisationName: string): BudgetTotal {
    return this.totals.get(organisationName)?.value ?? EMPTY_TOTAL;
  }

  /** Calls of routers so far, including liveness records. */
  get callCount(): number {
    return this.counts.committed + this.counts.conflict + this.counts.liveness;
  }

  /** @param reply called with the outcome and whether the store has replied */
  commit(
    routerIndex: number,
    organisationName: string,
    change: LedgerChange,
    urgency: ChangeUrgency,
    reply: (outcome: LedgerOutcome, replied: boolean) => void,
  ): void {
    if (!this.tryTake(routerIndex, RESERVED_FRACTIONS[urgency])) {
      this.counts.withheld += 1;
      reply({ kind: LedgerOutcomeKind.Rejected, detail: 'rate of writes' }, false);
      return;
    }
    if (!this.reachable) {
      this.timeline.schedule(TIMEOUT_MS, () => {
        reply({ kind: LedgerOutcomeKind.Unknown, detail: 'no reply' }, false);
      });
      return;
    }
    const startMs = Math.max(
      this.timeline.nowMs + CALL_MS / 2,
      this.partBusyUntilMs.get(organisationName) ?? 0,
    );
    const endMs = startMs + TRANSACTION_MS;
    this.partBusyUntilMs.set(organisationName, endMs);
    this.timeline.schedule(endMs - this.timeline.nowMs, () => {
      const outcome = this.apply(routerIndex, organisationName, change);
      const isLost = this.isReplyLost();
      this.timeline.schedule(isLost ? TIMEOUT_MS : CALL_MS / 2, () => {
        reply(isLost ? { kind: LedgerOutcomeKind.Unknown, detail: 'no reply' } : outcome, !isLost);
      });
    });
  }

  readLiveness(routerIndex: number): LivenessRecord | undefined {
    return this.records.get(routerIndex);
  }

  writeLiveness(routerIndex: number, record: LivenessRecord, reply: (confirmed: boolean) => void): void {
    const { reachable } = this;
    if (reachable) {
      this.counts.liveness += 1;
      this.records.set(routerIndex, record);
    }
    this.timeline.schedule(reachable ? CALL_MS + TRANSACTION_MS : TIMEOUT_MS, () => {
      reply(reachable);
    });
  }

  private tryTake(routerIndex: number, reservedFraction: number): boolean {
    const perSecond = WRITES_PER_SECOND / this.routerCount;
    const { nowMs } = this.timeline;
    const bucket = this.buckets.get(routerIndex) ?? { available: perSecond, refilledAtMs: nowMs };
    this.buckets.set(routerIndex, bucket);
    const addedTokens = ((nowMs - bucket.refilledAtMs) * perSecond) / 1_000;
    bucket.available = Math.min(perSecond, bucket.available + addedTokens);
    bucket.refilledAtMs = nowMs;
    if (bucket.available < 1 + perSecond * reservedFraction) {
      return false;
    }
    bucket.available -= 1;
    return true;
  }

  private apply(routerIndex: number, organisationName: string, change: LedgerChange): LedgerOutcome {
    const shareKey = `${organisationName}/${routerIndex}`;
    const share = this.shares.get(shareKey);
    const total = this.totals.get(organisationName);
    const totalMoved = change.total !== undefined && (total?.version ?? 0) !== change.base.totalVersion;
    if (totalMoved || (share?.version ?? 0) !== change.base.shareVersion) {
      this.counts.conflict += 1;
      const rows = { shareVersion: share?.version ?? 0, share: share?.value };
      return {
        kind: LedgerOutcomeKind.Conflict,
        snapshot:
          change.total === undefined
            ? { ...change.base, ...rows }
            : { totalVersion: total?.version ?? 0, total: total?.value ?? EMPTY_TOTAL, ...rows },
      };
    }
    this.counts.committed += 1;
    this.version += 1;
    if (change.total !== undefined) {
      this.counts.totals += 1;
      this.totals.set(organisationName, { version: this.version, value: change.total });
    }
    this.shares.set(shareKey, { version: this.version, value: change.share });
    return { kind: LedgerOutcomeKind.Committed, rowVersion: this.version };
  }
}
