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
import { adoptShareRow, ledgerOf, wakeWaiters } from './shares.ts';

/** Other routers write the same budget row; after this many conflicts the next interval goes on. */
const MAX_ATTEMPTS = 8;
const MAX_CONFLICT_WAIT_MS = 20;

enum SyncStep {
  Done = 'done',
  Conflict = 'conflict',
  Unreachable = 'unreachable',
}

/**
 * Brings an organisation's rows up to date in one transaction: applies top-ups, settles a page of records and
 * draws or returns. An attempt whose answer is lost is found in the rows of the next read.
 */
export function* syncOrganisation(context: CoreContext, organisationId: string): Task<void> {
  const ledger = ledgerOf(context, organisationId);
  if (ledger.busy) {
    return;
  }
  ledger.busy = true;
  const { pauseCount } = context.board.money;
  try {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const step = yield* syncOnce(context, organisationId);
      ledger.reachable = step !== SyncStep.Unreachable;
      if (step !== SyncStep.Conflict) {
        // A call that a pause of this process cut short says nothing of the store.
        const paused = context.board.money.pauseCount !== pauseCount;
        const unreachable = step === SyncStep.Unreachable && !paused;
        ledger.retryAtMs = unreachable
          ? context.clock.monotonicMs + context.options.shareCheckIntervalMs
          : context.clock.monotonicMs;
        break;
      }
      // A random wait keeps routers that race for one budget from colliding again.
      yield* sleepUntil(context.clock.monotonicMs + context.random() * MAX_CONFLICT_WAIT_MS);
    }
  } finally {
    ledger.busy = false;
  }
  wakeWaiters(context, organisationId);
}

function* syncOnce(context: CoreContext, organisationId: string): Task<SyncStep> {
  const { board } = context;
  const incarnationId = board.incarnationId;
  const records = settleablePage(context, organisationId);
  const keys = keysOf(organisationId, incarnationId, records);
  const rows = yield* readRows(context, keys);
  if (rows === undefined) {
    return SyncStep.Unreachable;
  }
  if (board.incarnationId !== incarnationId) {
    return SyncStep.Conflict;
  }
  const page = new LedgerPage(organisationId, keys, rows);
  adoptPage(context, page);
  planTopUps(context, page);
  const time = { wallMs: context.clock.wallMs, windowMs: context.options.idempotencyWindowMs };
  for (const record of records) {
    settleRecord(page, record, time);
  }
  if (ownsActiveRow(context, rows)) {
    planShare(context, page);
  }
  return yield* commitPage(context, page, incarnationId, records);
}

function* commitPage(
  context: CoreContext,
  page: LedgerPage,
  incarnationId: string,
  records: readonly UsageRecord[],
): Task<SyncStep> {
  if (page.changed) {
    const outcome = yield* commitTransaction(context, page.transaction());
    if (outcome.kind === TableOutcomeKind.Conflict) {
      return SyncStep.Conflict;
    }
    if (outcome.kind !== TableOutcomeKind.Committed) {
      return SyncStep.Unreachable;
    }
  }
  ledgerOf(context, page.organisationId).lastSettleAtMs = context.clock.monotonicMs;
  resolveRecords(context, records.map(recordKey));
  if (context.board.incarnationId === incarnationId) {
    adoptPage(context, page);
  }
  return SyncStep.Done;
}

function adoptPage(context: CoreContext, page: LedgerPage): void {
  const ledger = ledgerOf(context, page.organisationId);
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
    adoptShareRow(context, page.organisationId, row);
  }
}

function settleablePage(context: CoreContext, organisationId: string): UsageRecord[] {
  return settleableRecords(context, organisationId).slice(0, context.options.settlePageSize);
}

function keysOf(organisationId: string, incarnationId: string, records: readonly UsageRecord[]): string[] {
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

/** Only a router whose row is Active moves its share; the check of that row's version makes a fence final. */
function ownsActiveRow(context: CoreContext, rows: ReadonlyMap<string, TableRow>): boolean {
  const { board } = context;
  const row = decodeRouter(rows.get(routerKey(board.incarnationId))?.value);
  if (row !== undefined && row.state !== RouterRowState.Active) {
    board.incarnationStatus = IncarnationStatus.Unconfirmed;
    board.money.confirmRequests.push(undefined);
  }
  return row?.state === RouterRowState.Active;
}
