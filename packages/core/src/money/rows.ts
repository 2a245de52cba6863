import type { JsonValue } from '../types/table.ts';

export enum ShareState {
  Active = 'active',
  Closed = 'closed',
}

export enum RouterRowState {
  Active = 'active',
  Fenced = 'fenced',
  Gone = 'gone',
}

export interface BudgetRow {
  fundedMicros: number;
  allocatedMicros: number;
  settledMicros: number;
  heldMicros: number;
  topUpIds: string[];
}

export interface ShareRow {
  grantedMicros: number;
  settledMicros: number;
  returnedMicros: number;
  sequence: number;
  state: ShareState;
}

export interface RouterRow {
  readonly routerId: string;
  readonly vmId: string;
  readonly region: string;
  readonly availabilityZone: string;
  readonly state: RouterRowState;
  /** Wall-clock time; 0 while Active. */
  readonly fencedAtMs: number;
  readonly fencedBy: string;
}

export interface SettledEntry {
  readonly requestId: string;
  readonly amountMicros: number;
  readonly atMs: number;
}

/** Amount held back because a request of a reclaimed incarnation may still have run. */
export interface HeldEntry extends SettledEntry {
  readonly incarnationId: string;
}

export interface BillRow {
  settled: SettledEntry[];
  held: HeldEntry[];
}

// Only routers write these rows, so they are decoded without validation.
const cloneValue = (value: JsonValue | undefined): unknown =>
  value === undefined ? undefined : structuredClone(value);

export const decodeBudget = (value: JsonValue | undefined): BudgetRow | undefined =>
  cloneValue(value) as BudgetRow | undefined;

export const decodeShare = (value: JsonValue | undefined): ShareRow | undefined =>
  cloneValue(value) as ShareRow | undefined;

export const decodeBill = (value: JsonValue | undefined): BillRow | undefined =>
  cloneValue(value) as BillRow | undefined;

export const decodeRouter = (value: JsonValue | undefined): RouterRow | undefined =>
  cloneValue(value) as RouterRow | undefined;

export const encodeRow = (row: BudgetRow | ShareRow | BillRow | RouterRow): JsonValue =>
  structuredClone(row) as unknown as JsonValue;

export const emptyBudget = (): BudgetRow => ({
  fundedMicros: 0,
  allocatedMicros: 0,
  settledMicros: 0,
  heldMicros: 0,
  topUpIds: [],
});

export const emptyShare = (): ShareRow => ({
  grantedMicros: 0,
  settledMicros: 0,
  returnedMicros: 0,
  sequence: 0,
  state: ShareState.Active,
});

export const outstandingMicros = (
  share: Pick<ShareRow, 'grantedMicros' | 'settledMicros' | 'returnedMicros'>,
): number => share.grantedMicros - share.settledMicros - share.returnedMicros;

export const freeMicros = (budget: BudgetRow): number =>
  budget.fundedMicros - budget.allocatedMicros - budget.settledMicros - budget.heldMicros;
