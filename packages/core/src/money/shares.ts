import type { CoreContext } from '../context.ts';
import { targetMicros } from './chooseDraw.ts';
import { demandPortion } from './demandPortion.ts';
import type { ShareRow } from './rows.ts';
import { outstandingMicros } from './rows.ts';
import type { OrganisationLedger, Share } from './types.ts';

/** Time constant of the demand estimate. */
const DEMAND_WINDOW_MS = 10_000;

/** What a reservation may still take from the share. */
export const availableMicros = (share: Share): number =>
  outstandingMicros(share) - share.committedMicros - share.pendingReturnMicros;

export function shareOf(context: CoreContext, organisationId: string): Share {
  const { shares } = context.board.money;
  const existing = shares.get(organisationId);
  if (existing !== undefined) {
    return existing;
  }
  const share: Share = {
    organisationId,
    grantedMicros: 0,
    settledMicros: 0,
    returnedMicros: 0,
    sequence: 0,
    committedMicros: 0,
    pendingReturnMicros: 0,
    demandMicrosPerSecond: 0,
    recentMicros: 0,
    worstCaseMicros: 0,
    lastUsedAtMs: context.clock.monotonicMs,
    excessSinceMs: undefined,
  };
  shares.set(organisationId, share);
  return share;
}

export function ledgerOf(context: CoreContext, organisationId: string): OrganisationLedger {
  const { organisations } = context.board.money;
  const existing = organisations.get(organisationId);
  if (existing !== undefined) {
    return existing;
  }
  const ledger: OrganisationLedger = {
    busy: false,
    reachable: false,
    freeMicros: 0,
    heldMicros: 0,
    leftMicros: Infinity,
    portion: {
      ownMicros: 0,
      totalMicros: 0,
      lastOwnMicros: 0,
      lastTotalMicros: undefined,
      atMs: context.clock.monotonicMs,
    },
    appliedTopUpIds: new Set(),
    lastSettleAtMs: context.clock.monotonicMs,
    retryAtMs: 0,
  };
  organisations.set(organisationId, ledger);
  return ledger;
}

/** Takes the amounts of the share's row as read or as committed: the only way in which credit arrives. */
export function adoptShareRow(context: CoreContext, organisationId: string, row: ShareRow): void {
  const share = shareOf(context, organisationId);
  if (row.returnedMicros !== share.returnedMicros) {
    share.pendingReturnMicros = 0;
  }
  share.grantedMicros = row.grantedMicros;
  share.settledMicros = row.settledMicros;
  share.returnedMicros = row.returnedMicros;
  share.sequence = row.sequence;
  wakeWaiters(context, organisationId);
}

/** Lets the waiting reservations of an organisation look at the share again. */
export function wakeWaiters(context: CoreContext, organisationId: string): void {
  for (const waiter of context.board.money.waiters.get(organisationId) ?? []) {
    waiter.channel.push(undefined);
  }
}

export function horizonMs(context: CoreContext): number {
  const { identity } = context.board;
  return identity.region === identity.storeRegion
    ? context.options.nearHorizonMs
    : context.options.farHorizonMs;
}

/** Part of the money left that is split by demand; the rest stays in the budget for whoever runs short. */
const SPLIT_FRACTION = 0.9;

/** Most that the share should hold: this router's part of the organisation's demand, of the money left. */
export function shareCapMicros(context: CoreContext, share: Share): number {
  const ledger = ledgerOf(context, share.organisationId);
  const portion = demandPortion(ledger, share.worstCaseMicros);
  return SPLIT_FRACTION * portion * ledger.leftMicros;
}

export function shareTargetMicros(context: CoreContext, share: Share): number {
  const capMicros = shareCapMicros(context, share);
  return targetMicros({ ...share, capMicros, horizonMs: horizonMs(context) });
}

/** Updates the demand estimate (an exponentially weighted moving average) and the time of idle excess. */
export function updateDemand(context: CoreContext, share: Share, elapsedMs: number): void {
  const rate = (Math.max(0, share.recentMicros) * 1_000) / elapsedMs;
  const weight = 1 - Math.exp(-elapsedMs / DEMAND_WINDOW_MS);
  share.demandMicrosPerSecond += weight * (rate - share.demandMicrosPerSecond);
  share.recentMicros = 0;
  const excess = availableMicros(share) > 2 * shareTargetMicros(context, share);
  share.excessSinceMs = excess ? (share.excessSinceMs ?? context.clock.monotonicMs) : undefined;
}
