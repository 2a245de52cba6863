import type { CoreContext } from '../context.ts';
import { hash32 } from '../hash.ts';
import { liveRegionPeers } from '../membership/livePeers.ts';
import type { Task } from '../scheduler/task.ts';
import { receive } from '../scheduler/task.ts';
import { resendCopies } from './copies.ts';
import { returnableMicros } from './planShare.ts';
import { settleableRecords } from './settleableRecords.ts';
import { availableMicros, ledgerOf, shareTargetMicros, updateDemand } from './shares.ts';
import { syncOrganisation } from './syncOrganisation.ts';

/** A share below this part of its target is refilled before a request finds it short. */
const LOW_WATER_FRACTION = 0.5;

/** Draws when a reservation asks for it, and looks after all shares and records at an interval. */
export function* moneyController(context: CoreContext): Task<void> {
  const { drawRequests } = context.board.money;
  let checkedAtMs = context.clock.monotonicMs;
  for (;;) {
    const nextCheckMs = checkedAtMs + context.options.shareCheckIntervalMs;
    const organisationId = yield* receive(drawRequests, nextCheckMs);
    if (organisationId !== undefined) {
      startSync(context, organisationId);
    }
    if (context.clock.monotonicMs >= nextCheckMs) {
      checkAll(context, context.clock.monotonicMs - checkedAtMs);
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
  for (const organisationId of knownOrganisations(context)) {
    if (needsSync(context, organisationId)) {
      startSync(context, organisationId);
    }
  }
}

function knownOrganisations(context: CoreContext): Set<string> {
  const { money, configuration } = context.board;
  const records = [...money.ownRecords.values(), ...[...money.copies.values()].map((copy) => copy.record)];
  const budgets = configuration?.document.budgets ?? [];
  return new Set([...money.shares.keys(), ...[...records, ...budgets].map((item) => item.organisationId)]);
}

function needsSync(context: CoreContext, organisationId: string): boolean {
  return (
    hasSettlementDue(context, organisationId) ||
    hasShareWork(context, organisationId) ||
    hasTopUpDue(context, organisationId)
  );
}

function hasSettlementDue(context: CoreContext, organisationId: string): boolean {
  const ledger = ledgerOf(context, organisationId);
  const recordCount = settleableRecords(context, organisationId).length;
  if (recordCount === 0) {
    return false;
  }
  const due = context.clock.monotonicMs - ledger.lastSettleAtMs >= context.options.settleIntervalMs;
  return due || recordCount >= context.options.settlePageSize;
}

function hasShareWork(context: CoreContext, organisationId: string): boolean {
  const share = context.board.money.shares.get(organisationId);
  if (share === undefined) {
    return false;
  }
  const waiting = (context.board.money.waiters.get(organisationId)?.size ?? 0) > 0;
  const low = availableMicros(share) < LOW_WATER_FRACTION * shareTargetMicros(context, share);
  const exhausted =
    ledgerOf(context, organisationId).reachable && knownRemainder(context, organisationId) <= 0;
  return (
    waiting || (low && !exhausted) || share.pendingReturnMicros > 0 || returnableMicros(context, share) > 0
  );
}

const knownRemainder = (context: CoreContext, organisationId: string): number =>
  ledgerOf(context, organisationId).freeMicros;

/**
 * One router of the region applies a new top-up at once; the others apply it with their next draw if it is still
 * missing. Otherwise every router would write every changed budget.
 */
function hasTopUpDue(context: CoreContext, organisationId: string): boolean {
  const { configuration, identity } = context.board;
  const ledger = ledgerOf(context, organisationId);
  const budgets = configuration?.document.budgets ?? [];
  const missing = budgets.some(
    (budget) =>
      budget.organisationId === organisationId &&
      budget.topUps.some((topUp) => !ledger.appliedTopUpIds.has(topUp.topUpId)),
  );
  if (!missing) {
    return false;
  }
  const weight = (address: string): number => hash32(`${organisationId}|${address}`);
  const ownWeight = weight(identity.peerAddress);
  return liveRegionPeers(context).every((peer) => weight(peer.sender.peerAddress) <= ownWeight);
}
