import type { CoreContext } from '../context.ts';
import type { Task } from '../scheduler/task.ts';
import { receive } from '../scheduler/task.ts';
import { resendCopies } from './copies.ts';
import { returnableMicros } from './planShare.ts';
import { allSettleableRecords } from './settleableRecords.ts';
import { availableMicros, getOrCreateLedger, shareTargetMicros, updateDemand } from './shares.ts';
import { syncOrganisation } from './syncOrganisation.ts';
import { TopUpWatch } from './topUpWatch.ts';

/** A share below this fraction of its target is refilled before it falls short of a request. */
const LOW_WATER_FRACTION = 0.5;

/** Synchronises organisations on request, and checks all shares and records at an interval. */
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
      checkOrganisations(context, context.clock.monotonicMs - checkedAtMs);
      for (const dueOrganisationId of topUps.findDueOrganisations(context)) {
        startSync(context, dueOrganisationId);
      }
      checkedAtMs = context.clock.monotonicMs;
    }
  }
}

function startSync(context: CoreContext, organisationId: string): void {
  const ledger = getOrCreateLedger(context, organisationId);
  const canStart =
    context.board.money.registeredIncarnationId === context.board.incarnationId &&
    !ledger.busy &&
    context.clock.monotonicMs >= ledger.retryAtMs;
  if (canStart) {
    context.spawn('sync', syncOrganisation(context, organisationId));
  }
}

function checkOrganisations(context: CoreContext, elapsedMs: number): void {
  const { money } = context.board;
  for (const share of money.shares.values()) {
    updateDemand(context, share, elapsedMs);
  }
  resendCopies(context);
  const settleableCounts = countSettleableRecords(context);
  for (const organisationId of new Set([...context.board.money.shares.keys(), ...settleableCounts.keys()])) {
    const settlementDue = isSettlementDue(context, organisationId, settleableCounts.get(organisationId) ?? 0);
    if (settlementDue || needsShareSync(context, organisationId)) {
      startSync(context, organisationId);
    }
  }
}

/** Counts the settleable records of each organisation in one pass over all records. */
function countSettleableRecords(context: CoreContext): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const { organisationId } of allSettleableRecords(context)) {
    counts.set(organisationId, (counts.get(organisationId) ?? 0) + 1);
  }
  return counts;
}

function isSettlementDue(context: CoreContext, organisationId: string, recordCount: number): boolean {
  const { lastSettleAtMs } = getOrCreateLedger(context, organisationId);
  const intervalPassed = context.clock.monotonicMs - lastSettleAtMs >= context.options.settleIntervalMs;
  return recordCount >= context.options.settlePageSize || (recordCount > 0 && intervalPassed);
}

function needsShareSync(context: CoreContext, organisationId: string): boolean {
  const share = context.board.money.shares.get(organisationId);
  if (share === undefined) {
    return false;
  }
  const waiting = (context.board.money.waiters.get(organisationId)?.size ?? 0) > 0;
  const low = availableMicros(share) < LOW_WATER_FRACTION * shareTargetMicros(context, share);
  const ledger = getOrCreateLedger(context, organisationId);
  // chooseDraw draws nothing if the unallocated amount does not cover a request, so a refill would read in vain.
  const shortfallMicros = Math.max(1, share.worstCaseMicros - availableMicros(share));
  const exhausted = ledger.reachable && ledger.freeMicros < shortfallMicros;
  return (
    waiting || (low && !exhausted) || share.pendingReturnMicros > 0 || returnableMicros(context, share) > 0
  );
}
