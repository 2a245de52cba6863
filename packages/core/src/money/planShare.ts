import type { CoreContext } from '../context.ts';
import { chooseDraw } from './chooseDraw.ts';
import type { LedgerPage } from './ledgerPage.ts';
import {
  availableMicros,
  demandHorizonMs,
  getOrCreateLedger,
  shareCapMicros,
  getOrCreateShare,
  shareTargetMicros,
} from './shares.ts';
import type { Share } from './types.ts';

/** Adds the configured top-ups that the budget row does not include yet. */
export function planTopUps(context: CoreContext, page: LedgerPage): void {
  const budgets = context.board.configuration?.document.budgets ?? [];
  const configured = budgets.filter((budget) => budget.organisationId === page.organisationId);
  for (const topUp of configured.flatMap((budget) => budget.topUps)) {
    if (!page.budget.topUpIds.includes(topUp.topUpId)) {
      page.fund(topUp.topUpId, topUp.amountMicros);
    }
  }
}

/** Adds a return or a draw to the page, according to the share's current amounts. */
export function planShare(context: CoreContext, page: LedgerPage): void {
  const share = getOrCreateShare(context, page.organisationId);
  // The top-ups and settlements of this page are included.
  getOrCreateLedger(context, page.organisationId).leftMicros = page.freeMicros + page.budget.allocatedMicros;
  // A return that got no answer is retried against the row version just read, so at most one of the two commits.
  share.pendingReturnMicros = Math.max(share.pendingReturnMicros, returnableMicros(context, share));
  if (share.pendingReturnMicros > 0) {
    page.returnFromShare(context.board.incarnationId, share.pendingReturnMicros);
    return;
  }
  if (context.board.money.returning) {
    return;
  }
  const amountMicros = drawMicros(context, page, share);
  if (amountMicros > 0) {
    page.draw(context.board.incarnationId, amountMicros);
  }
}

function drawMicros(context: CoreContext, page: LedgerPage, share: Share): number {
  const waiters = [...(context.board.money.waiters.get(page.organisationId) ?? [])];
  const waiting = waiters.map((waiter) => waiter.amountMicros);
  return chooseDraw({
    demandMicrosPerSecond: share.demandMicrosPerSecond,
    horizonMs: demandHorizonMs(context),
    worstCaseMicros: waiting.length > 0 ? Math.min(...waiting) : share.worstCaseMicros,
    waitingMicros: waiting.reduce((sum, amountMicros) => sum + amountMicros, 0),
    availableMicros: availableMicros(share),
    fundedMicros: page.budget.fundedMicros,
    freeMicros: page.freeMicros,
    drawFraction: context.options.drawFraction,
    capMicros: shareCapMicros(context, share),
  });
}

/** A share returns its excess above this multiple of its cap; a smaller factor would cost a write on each check. */
const CAP_EXCESS_FACTOR = 1.25;

/** Amount to return now: all of it during a drain, else the excess over the target if above the cap or long idle. */
export function returnableMicros(context: CoreContext, share: Share): number {
  const { board, clock, options } = context;
  const unusedMicros = Math.max(0, availableMicros(share));
  if (board.money.returning) {
    return unusedMicros;
  }
  const targetMicros = shareTargetMicros(context, share);
  const hasWaiters = (board.money.waiters.get(share.organisationId)?.size ?? 0) > 0;
  const isAboveCap =
    unusedMicros > CAP_EXCESS_FACTOR * (targetMicros === 0 ? 0 : shareCapMicros(context, share));
  const inStoreRegion = board.identity.region === board.identity.storeRegion;
  const idle =
    share.excessSinceMs !== undefined && clock.monotonicMs - share.excessSinceMs >= options.idleReturnMs;
  return (isAboveCap && !hasWaiters) || (inStoreRegion && idle)
    ? Math.max(0, unusedMicros - targetMicros)
    : 0;
}
