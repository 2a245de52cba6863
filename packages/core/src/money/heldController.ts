import type { CoreContext } from '../context.ts';
import type { Task } from '../scheduler/task.ts';
import { sleepUntil } from '../scheduler/task.ts';
import { commitTransaction, readRows, scanRows } from '../table/tableCalls.ts';
import { TableOutcomeKind } from '../types/table.ts';
import { auditKey, billPrefix, budgetKey } from './keys.ts';
import { LedgerPage } from './ledgerPage.ts';
import { getOrCreateLedger } from './shares.ts';

/** Checks per held limit; a release is late by at most one check interval. */
const CHECKS_PER_HELD_LIMIT = 20;

/** Releases held amounts that nothing settled within the limit. `settleRecord` ends the hold of a billed request. */
export function* heldController(context: CoreContext): Task<void> {
  for (;;) {
    yield* sleepUntil(context.clock.monotonicMs + context.options.heldLimitMs / CHECKS_PER_HELD_LIMIT);
    for (const [organisationId, ledger] of context.board.money.organisations) {
      if (ledger.heldMicros > 0) {
        yield* releaseExpiredHolds(context, organisationId);
      }
    }
  }
}

/** After a conflict or a lost answer the next check reads the rows again. */
function* releaseExpiredHolds(context: CoreContext, organisationId: string): Task<void> {
  const billRows = yield* scanRows(context, billPrefix(organisationId));
  if (billRows === undefined) {
    return;
  }
  const keys = [budgetKey(organisationId), ...billRows.keys()];
  const rows = yield* readRows(context, keys);
  if (rows === undefined) {
    return;
  }
  const page = new LedgerPage(organisationId, keys, rows);
  for (const bill of page.existingBills().values()) {
    const expired = bill.held.filter(
      (entry) => context.clock.wallMs - entry.atMs >= context.options.heldLimitMs,
    );
    bill.held = bill.held.filter((entry) => !expired.includes(entry));
    for (const entry of expired) {
      page.adjustHeld(-entry.amountMicros);
      page.markBillChanged(entry.requestId);
      const id = `held-${organisationId}-${entry.incarnationId}-${entry.requestId}`;
      page.addWrite(auditKey(context.clock.wallMs, id), { kind: 'heldReleased', organisationId, ...entry });
    }
  }
  if (page.changed) {
    const outcome = yield* commitTransaction(context, page.transaction());
    if (outcome.kind !== TableOutcomeKind.Committed) {
      return;
    }
  }
  getOrCreateLedger(context, organisationId).heldMicros = page.budget.heldMicros;
}
