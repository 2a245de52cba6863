import type { TableRow } from '@pimentostall/core';
import type { EngineAuditEntry } from '@pimentostall/standins';
import type {
  BillEntry,
  BudgetState,
  CallRecord,
  Evidence,
  Funding,
  ShareAmounts,
} from '../auditor/types.ts';
import { CallOutcome } from '../auditor/types.ts';
import { idempotencyKeyOf } from '../callers/identity.ts';
import type { FleetPlan } from '../deployment/fleetPlan.ts';
import { PRICES } from '../deployment/prices.ts';
import { readEngineAudit, scanRows, readServiceAudit } from './standInClient.ts';

/** The billing and budget rows of the table, parsed for the auditor. */
export interface LedgerRows {
  readonly bills: readonly BillEntry[];
  readonly budgets: readonly BudgetState[];
  readonly shares: readonly ShareAmounts[];
}

interface BillValue {
  readonly settled: readonly { readonly requestId: string; readonly amountMicros: number }[];
}

const BILL_ROW = /^bill\/([^/]+)\//;
const BUDGET_ROW = /^budget\/([^/]+)$/;
const SHARE_ROW = /^share\/([^/]+)\//;

function organisationOf(pattern: RegExp, row: TableRow): string {
  return decodeURIComponent(pattern.exec(row.key)?.[1] ?? '');
}

function billEntries(row: TableRow): BillEntry[] {
  const organisationId = organisationOf(BILL_ROW, row);
  const { settled } = row.value as unknown as BillValue;
  return settled.map(({ requestId, amountMicros }) => {
    return { organisationId, key: idempotencyKeyOf(requestId), amountMicros };
  });
}

export async function readLedgerRows(platformAddress: string): Promise<LedgerRows> {
  const [bills, budgets, shares] = await Promise.all(
    ['bill/', 'budget/', 'share/'].map((prefix) => scanRows(platformAddress, prefix)),
  );
  return {
    bills: (bills ?? []).flatMap(billEntries),
    budgets: (budgets ?? []).map((row) => ({
      ...(row.value as unknown as Omit<BudgetState, 'organisationId'>),
      organisationId: organisationOf(BUDGET_ROW, row),
    })),
    shares: (shares ?? []).map((row) => ({
      ...(row.value as unknown as Omit<ShareAmounts, 'organisationId'>),
      organisationId: organisationOf(SHARE_ROW, row),
    })),
  };
}

function indexByIdempotencyKey<T>(requests: Readonly<Record<string, T>>): Record<string, T> {
  const entries = Object.entries(requests);
  return Object.fromEntries(entries.map(([identity, entry]) => [idempotencyKeyOf(identity), entry]));
}

/** Last records of killed engines, by address. They are a lower bound of what these engines executed. */
export type EngineSnapshots = ReadonlyMap<string, Readonly<Record<string, EngineAuditEntry>>>;

/** Collects the records of the stand-ins and combines them with the records of the callers. */
export async function collectEvidence(
  plan: FleetPlan,
  funding: readonly Funding[],
  calls: readonly CallRecord[],
  snapshots: EngineSnapshots = new Map(),
): Promise<Evidence> {
  const [ledger, engines, services] = await Promise.all([
    readLedgerRows(plan.platformAddress),
    Promise.all(
      plan.engines.map(async ({ address }) => snapshots.get(address) ?? (await readEngineAudit(address))),
    ),
    Promise.all(plan.services.map(({ address }) => readServiceAudit(address))),
  ]);
  return {
    ...ledger,
    funding,
    calls,
    engines: engines.map(indexByIdempotencyKey),
    services: services.map(indexByIdempotencyKey),
    prices: PRICES,
    // No scenario stops all engines.
    engineUpAt: () => true,
  };
}

/** Number of answered requests without a bill. */
export function unbilledCount(ledger: LedgerRows, calls: readonly CallRecord[]): number {
  const billed = new Set(ledger.bills.map(({ key }) => key));
  const answered = calls.filter(({ outcome }) => outcome === CallOutcome.Answered);
  return answered.filter(({ key }) => !billed.has(key)).length;
}
