import type { CoreContext } from '../context.ts';
import { chooseDraw } from './chooseDraw.ts';
import type { LedgerPage } from './ledgerPage.ts';
import {
  availableMicros,
  horizonMs,
  ledgerOf,
  shareCapMicros,
  shareOf,
  shareTargetMicros,
} from './shares.ts';
import type { Share } from './types.ts';

/** Adds the configured top-ups that the budget row does not list yet. */
export function planTopUps(context: CoreContext, page: LedgerPage): void {
  const budgets = context.board.configuration?.document.budgets ?? [];
  const configured = budgets.filter((budget) => budget.organisationId === page.organisationId);
  for (const topUp of configured.flatMap((budget) => budget.topUps)) {
    if (!page.budget.topUpIds.includes(topUp.topUpId)) {
      page.fund(topUp.topUpId, topUp.amountMicros);
    }
  }
}

/** Adds a return or a draw to the page, as the share as read needs it. */
export function planShare(context: CoreContext, page: LedgerPage): void {
  const share = shareOf(context, page.organisationId);
  // Top-ups and settlements of this page count already.
  ledgerOf(context, page.organisationId).leftMicros = page.freeMicros + page.budget.allocatedMicros;
  // An earlier return without an answer is repeated on the row as read, so that at most one of the two commits.
  share.pendingReturnMicros = Math.max(share.pendingReturnMicros, returnableMicros(context, share));
  if (share.pendingReturnMicros > 0) {
    page.giveBack(context.board.incarnationId, share.pendingReturnMicros);
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
    horizonMs: horizonMs(context),
    worstCaseMicros: waiting.length > 0 ? Math.min(...waiting) : share.worstCaseMicros,
    waitingMicros: waiting.reduce((sum, amountMicros) => sum + amountMicros, 0),
    availableMicros: availableMicros(share),
    fundedMicros: page.budget.fundedMicros,
    freeMicros: page.freeMicros,
    drawFraction: context.options.drawFraction,
    capMicros: shareCapMicros(context, share),
  });
}

/** A share above its cap by this factor gives the excess back; a smaller one would cost a write each check. */
const CAP_EXCESS_FACTOR = 1.25;

/** What the share gives back now: everything in a drain, else what is above its cap or was idle for long enough. */
export function returnableMicros(context: CoreContext, share: Share): number {
  const { board, clock, options } = context;
  const unusedMicros = Math.max(0, availableMicros(share));
  if (board.money.returning) {
    return unusedMicros;
  }
  const targetMicros = shareTargetMicros(context, share);
  const isWaitedFor = (board.money.waiters.get(share.organisationId)?.size ?? 0) > 0;
  const isAboveCap =
    unusedMicros > CAP_EXCESS_FACTOR * (targetMicros === 0 ? 0 : shareCapMicros(context, share));
  const inStoreRegion = board.identity.region === board.identity.storeRegion;
  const idle =
    share.excessSinceMs !== undefined && clock.monotonicMs - share.excessSinceMs >= options.idleReturnMs;
  return (isAboveCap && !isWaitedFor) || (inStoreRegion && idle)
    ? Math.max(0, unusedMicros - targetMicros)
    : 0;
}
