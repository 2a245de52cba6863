import { IncarnationStatus } from '../blackboard.ts';
import type { CoreContext } from '../context.ts';
import type { Task } from '../scheduler/task.ts';
import { sleepUntil } from '../scheduler/task.ts';
import { commitTransaction, readRows } from '../table/tableCalls.ts';
import type { UsageRecord } from '../types/messages.ts';
import type { TableRow } from '../types/table.ts';
import { TableOutcomeKind } from '../types/table.ts';
import { billKey, budgetKey, recordKey, routerKey, shareKey } from './keys.ts';
import { updatePortion } from './demandPortion.ts';
import { LedgerPage } from './ledgerPage.ts';
import { planShare, planTopUps } from './planShare.ts';
import { resolveRecords } from './records.ts';
import { decodeRouter, RouterRowState } from './rows.ts';
import { settleableRecords } from './settleableRecords.ts';
import { settleRecord } from './settleRecord.ts';
import { applyShareRow, getOrCreateLedger, wakeWaiters } from './shares.ts';

/** Other routers write the same budget row; after this many conflicts the next interval retries. */
const MAX_ATTEMPTS = 8;
const MAX_CONFLICT_BACKOFF_MS = 20;

enum SyncResult {
  Done = 'done',
  Conflict = 'conflict',
  Unreachable = 'unreachable',
}

/**
 * Synchronises an organisation's rows in one transaction: applies top-ups, settles a page of records, and draws or
 * returns. If the answer of a commit is lost, the next read shows whether it took effect.
 */
export function* syncOrganisation(context: CoreContext, organisationId: string): Task<void> {
  const ledger = getOrCreateLedger(context, organisationId);
  if (ledger.busy) {
    return;
  }
  ledger.busy = true;
  const { pauseCount } = context.board.money;
  try {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const result = yield* syncOnce(context, organisationId);
      ledger.reachable = result !== SyncResult.Unreachable;
      if (result !== SyncResult.Conflict) {
        // A call that timed out because this process was paused says nothing about the store.
        const paused = context.board.money.pauseCount !== pauseCount;
        const unreachable = result === SyncResult.Unreachable && !paused;
        ledger.retryAtMs = unreachable
          ? context.clock.monotonicMs + context.options.shareCheckIntervalMs
          : context.clock.monotonicMs;
        break;
      }
      // Random backoff, so that routers that contend for one budget do not collide again.
      yield* sleepUntil(context.clock.monotonicMs + context.random() * MAX_CONFLICT_BACKOFF_MS);
    }
  } finally {
    ledger.busy = false;
  }
  wakeWaiters(context, organisationId);
}

function* syncOnce(context: CoreContext, organisationId: string): Task<SyncResult> {
  const { board } = context;
  const incarnationId = board.incarnationId;
  const records = nextSettleablePage(context, organisationId);
  const keys = rowKeys(organisationId, incarnationId, records);
  const rows = yield* readRows(context, keys);
  if (rows === undefined) {
    return SyncResult.Unreachable;
  }
  if (board.incarnationId !== incarnationId) {
    return SyncResult.Conflict;
  }
  const page = new LedgerPage(organisationId, keys, rows);
  applyPage(context, page);
  planTopUps(context, page);
  const time = { wallMs: context.clock.wallMs, windowMs: context.options.idempotencyWindowMs };
  for (const record of records) {
    settleRecord(page, record, time);
  }
  if (verifyRouterRow(context, rows)) {
    planShare(context, page);
  }
  return yield* commitPage(context, page, incarnationId, records);
}

function* commitPage(
  context: CoreContext,
  page: LedgerPage,
  incarnationId: string,
  records: readonly UsageRecord[],
): Task<SyncResult> {
  if (page.changed) {
    const outcome = yield* commitTransaction(context, page.transaction());
    if (outcome.kind === TableOutcomeKind.Conflict) {
      return SyncResult.Conflict;
    }
    if (outcome.kind !== TableOutcomeKind.Committed) {
      return SyncResult.Unreachable;
    }
  }
  getOrCreateLedger(context, page.organisationId).lastSettleAtMs = context.clock.monotonicMs;
  resolveRecords(context, records.map(recordKey));
  if (context.board.incarnationId === incarnationId) {
    applyPage(context, page);
  }
  return SyncResult.Done;
}

function applyPage(context: CoreContext, page: LedgerPage): void {
  const ledger = getOrCreateLedger(context, page.organisationId);
  ledger.freeMicros = page.freeMicros;
  ledger.heldMicros = page.budget.heldMicros;
  ledger.leftMicros = page.freeMicros + page.budget.allocatedMicros;
  for (const topUpId of page.budget.topUpIds) {
    ledger.appliedTopUpIds.add(topUpId);
  }
  const row = page.share(context.board.incarnationId);
  updatePortion(ledger, {
    ownSettledMicros: row?.settledMicros ?? 0,
    totalSettledMicros: page.budget.settledMicros,
    nowMs: context.clock.monotonicMs,
  });
  if (row !== undefined) {
    applyShareRow(context, page.organisationId, row);
  }
}

function nextSettleablePage(context: CoreContext, organisationId: string): UsageRecord[] {
  return settleableRecords(context, organisationId).slice(0, context.options.settlePageSize);
}

function rowKeys(organisationId: string, incarnationId: string, records: readonly UsageRecord[]): string[] {
  const keys = new Set([
    budgetKey(organisationId),
    routerKey(incarnationId),
    shareKey(organisationId, incarnationId),
  ]);
  for (const record of records) {
    keys.add(shareKey(organisationId, record.incarnationId));
    keys.add(billKey(organisationId, record.requestId));
  }
  return [...keys];
}

/**
 * Returns true if the router row is Active, which a draw or return requires. The transaction also checks the version
 * of this row, so none commits after a fence. If the row is not Active, the incarnation must be confirmed again.
 */
function verifyRouterRow(context: CoreContext, rows: ReadonlyMap<string, TableRow>): boolean {
  const { board } = context;
  const row = decodeRouter(rows.get(routerKey(board.incarnationId))?.value);
  if (row !== undefined && row.state !== RouterRowState.Active) {
    board.incarnationStatus = IncarnationStatus.Unconfirmed;
    board.money.confirmRequests.push(undefined);
  }
  return row?.state === RouterRowState.Active;
}
