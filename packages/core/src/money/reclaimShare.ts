import type { CoreContext } from '../context.ts';
import type { Task } from '../scheduler/task.ts';
import { commitTransaction, readRows } from '../table/tableCalls.ts';
import type { UsageRecord } from '../types/messages.ts';
import { RecordState } from '../types/messages.ts';
import { TableOutcomeKind } from '../types/table.ts';
import { billKey, budgetKey, recordKey, routerKey, shareKey } from './keys.ts';
import { LedgerPage } from './ledgerPage.ts';
import { resolveRecords } from './records.ts';
import { outstandingMicros, ShareState } from './rows.ts';
import { settleRecord } from './settleRecord.ts';
import { getOrCreateLedger } from './shares.ts';

export interface ReclaimedShare {
  readonly organisationId: string;
  readonly incarnationId: string;
  /** Records of the incarnation for this organisation. */
  readonly records: readonly UsageRecord[];
}

/**
 * Closes the share of a fenced incarnation in one transaction: usage is settled, open reservations are held back
 * and the rest returns to the budget. True once the share is closed, also by an earlier call whose answer was lost.
 */
export function* reclaimShare(context: CoreContext, reclaimed: ReclaimedShare): Task<boolean> {
  const { organisationId, incarnationId, records } = reclaimed;
  const keys = new Set([
    budgetKey(organisationId),
    shareKey(organisationId, incarnationId),
    routerKey(incarnationId),
    ...records.map((record) => billKey(organisationId, record.requestId)),
  ]);
  const rows = yield* readRows(context, [...keys]);
  if (rows === undefined) {
    return false;
  }
  const page = new LedgerPage(organisationId, [...keys], rows);
  const used = records.filter((record) => record.state === RecordState.Used);
  if (page.share(incarnationId)?.state === ShareState.Active) {
    closeShare(context, page, reclaimed);
    const outcome = yield* commitTransaction(context, page.transaction());
    if (outcome.kind !== TableOutcomeKind.Committed) {
      return false;
    }
    resolveRecords(context, used.map(recordKey));
  }
  getOrCreateLedger(context, organisationId).heldMicros = page.budget.heldMicros;
  return true;
}

function closeShare(context: CoreContext, page: LedgerPage, reclaimed: ReclaimedShare): void {
  const { incarnationId, records } = reclaimed;
  const time = { wallMs: context.clock.wallMs, windowMs: context.options.idempotencyWindowMs };
  for (const record of records.filter((each) => each.state === RecordState.Used)) {
    settleRecord(page, record, time);
  }
  for (const record of records.filter((each) => each.state === RecordState.Reserved)) {
    holdReservation(page, record, time.wallMs);
  }
  page.returnFromShare(incarnationId, outstandingShareMicros(page, incarnationId));
  page.closeShare(incarnationId, ShareState.Closed);
}

function holdReservation(page: LedgerPage, record: UsageRecord, wallMs: number): void {
  const { requestId, incarnationId } = record;
  const settled = page.bill(requestId).settled.some((entry) => entry.requestId === requestId);
  const amountMicros = Math.min(record.amountMicros, outstandingShareMicros(page, incarnationId));
  if (!settled && amountMicros > 0) {
    page.hold(incarnationId, { requestId, incarnationId, amountMicros, atMs: wallMs });
  }
}

function outstandingShareMicros(page: LedgerPage, incarnationId: string): number {
  const share = page.share(incarnationId);
  return share === undefined ? 0 : outstandingMicros(share);
}
