import type { CoreContext } from '../context.ts';
import type { Task } from '../scheduler/task.ts';
import { liveRegionPeers } from '../membership/livePeers.ts';
import { sleepUntil } from '../scheduler/task.ts';
import { RecordState } from '../types/messages.ts';
import { isSafe, resendCopies } from './copies.ts';
import { outstandingMicros } from './rows.ts';
import { settleableRecords } from './settleableRecords.ts';
import { syncOrganisation } from './syncOrganisation.ts';

/** Wait after a round that left something, so that a caller that repeats rounds does not spin. */
const ROUND_WAIT_MS = 100;

/**
 * One round of the drain: settles records, returns shares and hands unsettled records to peers. True when nothing
 * is left; the caller repeats rounds as long as it can wait. Copies held for peers end with this process, so those
 * of used money are settled, and those of owners that are not heard wait until the owner's share is reclaimed.
 */
export function* returnAllShares(context: CoreContext): Task<boolean> {
  const { money } = context.board;
  money.returning = true;
  for (const [key, { record }] of money.copies) {
    if (record.state === RecordState.Used) {
      money.orphanKeys.add(key);
    }
  }
  for (const organisationId of openOrganisations(context)) {
    do {
      yield* syncOrganisation(context, organisationId);
    } while (hasMorePages(context, organisationId));
  }
  resendCopies(context);
  const done = openOrganisations(context).size === 0 && !holdsLastCopies(context);
  if (!done) {
    yield* sleepUntil(context.clock.monotonicMs + ROUND_WAIT_MS);
  }
  return done;
}

/** A full page was settled and the store answers, so the next page can follow at once. */
function hasMorePages(context: CoreContext, organisationId: string): boolean {
  const ledger = context.board.money.organisations.get(organisationId);
  const justSettled =
    ledger?.lastSettleAtMs === context.clock.monotonicMs && ledger.reachable && !ledger.busy;
  return justSettled && settleableRecords(context, organisationId).length > 0;
}

/** Organisations with outstanding shares, used copies, or own records that neither the table nor a peer holds. */
function openOrganisations(context: CoreContext): Set<string> {
  const { shares, ownRecords, copies, orphanKeys } = context.board.money;
  const open = [...shares.values()].filter((share) => outstandingMicros(share) > 0);
  const unsafe = [...ownRecords].filter(([key]) => !isSafe(context, key)).map(([, record]) => record);
  const orphans = [...orphanKeys].flatMap((key) => copies.get(key)?.record ?? []);
  return new Set([...open, ...unsafe, ...orphans].map((item) => item.organisationId));
}

/** Copies of owners that are not heard any more: a reclaim will ask for them. */
function holdsLastCopies(context: CoreContext): boolean {
  const owners = new Set(liveRegionPeers(context).map((peer) => peer.sender.incarnationId));
  return [...context.board.money.copies.values()].some(({ record }) => !owners.has(record.incarnationId));
}
