import type { JsonValue, RowCheck, RowWrite, TableRow, TableTransaction } from '../types/table.ts';
import { ABSENT_ROW_VERSION } from '../types/table.ts';
import { billKey, billPrefix, budgetKey, shareKey } from './keys.ts';
import type { BillRow, BudgetRow, HeldEntry, ShareRow } from './rows.ts';
import {
  decodeBill,
  decodeBudget,
  decodeShare,
  emptyBudget,
  emptyShare,
  encodeRow,
  freeMicros,
  outstandingMicros,
} from './rows.ts';

/**
 * The rows of one organisation, changed in memory and written back in one transaction that checks the version of
 * every row of the page. Amounts change only through the methods, which keep the budget's `allocatedMicros`
 * consistent with the shares.
 */
export class LedgerPage {
  readonly budget: BudgetRow;
  private readonly shares = new Map<string, ShareRow>();
  private readonly bills = new Map<string, BillRow>();
  private readonly changedKeys = new Set<string>();
  private readonly extraWrites: RowWrite[] = [];

  constructor(
    readonly organisationId: string,
    private readonly keys: readonly string[],
    private readonly rows: ReadonlyMap<string, TableRow>,
  ) {
    this.budget = decodeBudget(rows.get(budgetKey(organisationId))?.value) ?? emptyBudget();
  }

  share(incarnationId: string): ShareRow | undefined {
    return this.load(this.shares, shareKey(this.organisationId, incarnationId), decodeShare);
  }

  bill(requestId: string): BillRow {
    const key = billKey(this.organisationId, requestId);
    const row = this.load(this.bills, key, decodeBill) ?? { settled: [], held: [] };
    this.bills.set(key, row);
    return row;
  }

  get freeMicros(): number {
    return freeMicros(this.budget);
  }

  get changed(): boolean {
    return this.changedKeys.size > 0 || this.extraWrites.length > 0;
  }

  fund(topUpId: string, amountMicros: number): void {
    this.budget.topUpIds.push(topUpId);
    this.budget.fundedMicros += amountMicros;
    this.markChanged(budgetKey(this.organisationId));
  }

  draw(incarnationId: string, amountMicros: number): void {
    const key = shareKey(this.organisationId, incarnationId);
    const share = this.share(incarnationId) ?? emptyShare();
    this.shares.set(key, share);
    share.grantedMicros += amountMicros;
    share.sequence += 1;
    this.budget.allocatedMicros += amountMicros;
    this.markChanged(key, budgetKey(this.organisationId));
  }

  returnFromShare(incarnationId: string, amountMicros: number): void {
    const share = this.requireShare(incarnationId);
    share.returnedMicros += amountMicros;
    share.sequence += 1;
    this.budget.allocatedMicros -= amountMicros;
    this.markChanged(shareKey(this.organisationId, incarnationId), budgetKey(this.organisationId));
  }

  closeShare(incarnationId: string, state: ShareRow['state']): void {
    this.requireShare(incarnationId).state = state;
    this.markChanged(shareKey(this.organisationId, incarnationId));
  }

  settleFromShare(incarnationId: string, amountMicros: number): void {
    this.requireShare(incarnationId).settledMicros += amountMicros;
    this.budget.allocatedMicros -= amountMicros;
    this.budget.settledMicros += amountMicros;
    this.markChanged(shareKey(this.organisationId, incarnationId), budgetKey(this.organisationId));
  }

  settleFromUnallocated(amountMicros: number): void {
    this.budget.settledMicros += amountMicros;
    this.markChanged(budgetKey(this.organisationId));
  }

  /** Moves an amount from a share to the held amount, for a request that may still have run. */
  hold(incarnationId: string, entry: HeldEntry): void {
    this.returnFromShare(incarnationId, entry.amountMicros);
    this.adjustHeld(entry.amountMicros);
    this.bill(entry.requestId).held.push(entry);
    this.markBillChanged(entry.requestId);
  }

  adjustHeld(differenceMicros: number): void {
    this.budget.heldMicros += differenceMicros;
    this.markChanged(budgetKey(this.organisationId));
  }

  /** Existing bill rows of the page, by key. */
  existingBills(): ReadonlyMap<string, BillRow> {
    const prefix = billPrefix(this.organisationId);
    for (const key of this.keys.filter((each) => each.startsWith(prefix))) {
      this.load(this.bills, key, decodeBill);
    }
    return this.bills;
  }

  markBillChanged(requestId: string): void {
    this.markChanged(billKey(this.organisationId, requestId));
  }

  addWrite(key: string, value: JsonValue): void {
    this.extraWrites.push({ key, value });
  }

  /** Throws if the page violates an invariant of the amounts, so that a defect does not reach the table. */
  transaction(): TableTransaction {
    this.assertInvariants();
    const checks: RowCheck[] = this.keys.map((key) => ({
      key,
      expectedVersion: this.rows.get(key)?.version ?? ABSENT_ROW_VERSION,
    }));
    const writes = [...this.changedKeys].map((key) => ({ key, value: encodeRow(this.rowOf(key)) }));
    return { checks, writes: [...writes, ...this.extraWrites] };
  }

  private requireShare(incarnationId: string): ShareRow {
    const share = this.share(incarnationId);
    if (share === undefined) {
      throw new Error(`share of ${this.organisationId} for incarnation ${incarnationId} does not exist`);
    }
    return share;
  }

  private load<T>(
    cache: Map<string, T>,
    key: string,
    decode: (value: JsonValue | undefined) => T | undefined,
  ): T | undefined {
    const cached = cache.get(key);
    if (cached !== undefined) {
      return cached;
    }
    const decoded = decode(this.rows.get(key)?.value);
    if (decoded !== undefined) {
      cache.set(key, decoded);
    }
    return decoded;
  }

  private rowOf(key: string): BudgetRow | ShareRow | BillRow {
    return this.shares.get(key) ?? this.bills.get(key) ?? this.budget;
  }

  private markChanged(...keys: readonly string[]): void {
    for (const key of keys) {
      if (!this.keys.includes(key)) {
        throw new Error(`row ${key} must be read before it is written`);
      }
      this.changedKeys.add(key);
    }
  }

  private assertInvariants(): void {
    const { allocatedMicros, heldMicros } = this.budget;
    const broken =
      this.freeMicros < 0 ||
      allocatedMicros < 0 ||
      heldMicros < 0 ||
      [...this.shares.values()].some((share) => outstandingMicros(share) < 0);
    if (broken) {
      const amounts = JSON.stringify({ budget: this.budget, shares: [...this.shares] });
      throw new Error(
        `transaction on budget ${this.organisationId} violates the money invariants: ${amounts}`,
      );
    }
  }
}
