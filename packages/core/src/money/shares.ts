import type { CoreContext } from '../context.ts';
import { targetMicros } from './chooseDraw.ts';
import { demandPortion } from './demandPortion.ts';
import type { ShareRow } from './rows.ts';
import { outstandingMicros } from './rows.ts';
import type { OrganisationLedger, Share } from './types.ts';

/** Time constant of the demand estimate. */
const DEMAND_TIME_CONSTANT_MS = 10_000;

/** Amount of the share that new reservations may still use. */
export const availableMicros = (share: Share): number =>
  outstandingMicros(share) - share.committedMicros - share.pendingReturnMicros;

export function getOrCreateShare(context: CoreContext, organisationId: string): Share {
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

export function getOrCreateLedger(context: CoreContext, organisationId: string): OrganisationLedger {
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

/** Copies the amounts of a share row, as read or committed, into the share. No other code path adds credit. */
export function applyShareRow(context: CoreContext, organisationId: string, row: ShareRow): void {
  const share = getOrCreateShare(context, organisationId);
  if (row.returnedMicros !== share.returnedMicros) {
    share.pendingReturnMicros = 0;
  }
  share.grantedMicros = row.grantedMicros;
  share.settledMicros = row.settledMicros;
  share.returnedMicros = row.returnedMicros;
  share.sequence = row.sequence;
  wakeWaiters(context, organisationId);
}

/** Wakes the pending reservations of an organisation to check the share again. */
export function wakeWaiters(context: CoreContext, organisationId: string): void {
  for (const waiter of context.board.money.waiters.get(organisationId) ?? []) {
    waiter.channel.push(undefined);
  }
}

export function demandHorizonMs(context: CoreContext): number {
  const { identity } = context.board;
  return identity.region === identity.storeRegion
    ? context.options.nearHorizonMs
    : context.options.farHorizonMs;
}

/** Fraction of the unspent budget that is split by demand; the rest stays unallocated for routers that run short. */
const DEMAND_SPLIT_FRACTION = 0.9;

/** Upper bound of the share: the unspent budget in proportion to this router's fraction of the demand. */
export function shareCapMicros(context: CoreContext, share: Share): number {
  const ledger = getOrCreateLedger(context, share.organisationId);
  const portion = demandPortion(ledger, share.worstCaseMicros);
  return DEMAND_SPLIT_FRACTION * portion * ledger.leftMicros;
}

export function shareTargetMicros(context: CoreContext, share: Share): number {
  const capMicros = shareCapMicros(context, share);
  return targetMicros({ ...share, capMicros, horizonMs: demandHorizonMs(context) });
}

/** Updates the demand estimate (an exponentially weighted moving average) and `excessSinceMs`. */
export function updateDemand(context: CoreContext, share: Share, elapsedMs: number): void {
  const rate = (Math.max(0, share.recentMicros) * 1_000) / elapsedMs;
  const weight = 1 - Math.exp(-elapsedMs / DEMAND_TIME_CONSTANT_MS);
  share.demandMicrosPerSecond += weight * (rate - share.demandMicrosPerSecond);
  share.recentMicros = 0;
  const excess = availableMicros(share) > 2 * shareTargetMicros(context, share);
  share.excessSinceMs = excess ? (share.excessSinceMs ?? context.clock.monotonicMs) : undefined;
}
