import type { CoreContext } from '../context.ts';
import type { Task } from '../scheduler/task.ts';
import { receive } from '../scheduler/task.ts';
import { resendCopies } from './copies.ts';
import { returnableMicros } from './planShare.ts';
import { allSettleableRecords } from './settleableRecords.ts';
import { availableMicros, ledgerOf, shareTargetMicros, updateDemand } from './shares.ts';
import { syncOrganisation } from './syncOrganisation.ts';
import { TopUpWatch } from './topUpWatch.ts';

/** A share below this part of its target is refilled before a request finds it short. */
const LOW_WATER_FRACTION = 0.5;

/** Draws when a reservation asks for it, and looks after all shares and records at an interval. */
export function* moneyController(context: CoreContext): Task<void> {
  const { drawRequests } = context.board.money;
  const topUps = new TopUpWatch();
  let checkedAtMs = context.clock.monotonicMs;
  for (;;) {
    const nextCheckMs = checkedAtMs + context.options.shareCheckIntervalMs;
    const organisationId = yield* receive(drawRequests, nextCheckMs);
    if (organisationId !== undefined) {
      startSync(context, organisationId);
    }
    if (context.clock.monotonicMs >= nextCheckMs) {
      checkAll(context, context.clock.monotonicMs - checkedAtMs);
      for (const dueId of topUps.due(context)) {
        startSync(context, dueId);
      }
      checkedAtMs = context.clock.monotonicMs;
    }
  }
}

function startSync(context: CoreContext, organisationId: string): void {
  const ledger = ledgerOf(context, organisationId);
  const mayStart =
    context.board.money.registeredIncarnationId === context.board.incarnationId &&
    !ledger.busy &&
    context.clock.monotonicMs >= ledger.retryAtMs;
  if (mayStart) {
    context.spawn('sync', syncOrganisation(context, organisationId));
  }
}

function checkAll(context: CoreContext, elapsedMs: number): void {
  const { money } = context.board;
  for (const share of money.shares.values()) {
    updateDemand(context, share, elapsedMs);
  }
  resendCopies(context);
  const usedCounts = countUsed(context);
  for (const organisationId of new Set([...context.board.money.shares.keys(), ...usedCounts.keys()])) {
    const settlementDue = isSettlementDue(context, organisationId, usedCounts.get(organisationId) ?? 0);
    if (settlementDue || hasShareWork(context, organisationId)) {
      startSync(context, organisationId);
    }
  }
}

/** Records to settle by organisation, counted in one pass over all records. */
function countUsed(context: CoreContext): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const { organisationId } of allSettleableRecords(context)) {
    counts.set(organisationId, (counts.get(organisationId) ?? 0) + 1);
  }
  return counts;
}

function isSettlementDue(context: CoreContext, organisationId: string, recordCount: number): boolean {
  const { lastSettleAtMs } = ledgerOf(context, organisationId);
  const intervalPassed = context.clock.monotonicMs - lastSettleAtMs >= context.options.settleIntervalMs;
  return recordCount >= context.options.settlePageSize || (recordCount > 0 && intervalPassed);
}

function hasShareWork(context: CoreContext, organisationId: string): boolean {
  const share = context.board.money.shares.get(organisationId);
  if (share === undefined) {
    return false;
  }
  const waiting = (context.board.money.waiters.get(organisationId)?.size ?? 0) > 0;
  const low = availableMicros(share) < LOW_WATER_FRACTION * shareTargetMicros(context, share);
  const ledger = ledgerOf(context, organisationId);
  // chooseDraw takes nothing from a remainder that does not cover a request, so it is not read for a refill.
  const shortMicros = Math.max(1, share.worstCaseMicros - availableMicros(share));
  const exhausted = ledger.reachable && ledger.freeMicros < shortMicros;
  return (
    waiting || (low && !exhausted) || share.pendingReturnMicros > 0 || returnableMicros(context, share) > 0
  );
}
