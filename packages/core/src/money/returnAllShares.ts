import type { CoreContext } from '../context.ts';
import type { Task } from '../scheduler/task.ts';
import { liveRegionPeers } from '../membership/livePeers.ts';
import { sleepUntil } from '../scheduler/task.ts';
import { RecordState } from '../types/messages.ts';
import { isReplicated, resendCopies } from './copies.ts';
import { outstandingMicros } from './rows.ts';
import { settleableRecords } from './settleableRecords.ts';
import { syncOrganisation } from './syncOrganisation.ts';

/** Delay after an incomplete round, so that a caller that repeats rounds does not spin. */
const ROUND_DELAY_MS = 100;

/**
 * Runs one round of the drain: settles records, returns shares and copies unsettled records to peers. True when
 * nothing is left; the caller repeats rounds until its own limit. The copies that this process holds are lost when it
 * exits, so it settles usage copies and keeps the copies of silent owners until their shares are reclaimed.
 */
export function* returnAllShares(context: CoreContext): Task<boolean> {
  const { money } = context.board;
  money.returning = true;
  for (const [key, { record }] of money.copies) {
    if (record.state === RecordState.Used) {
      money.orphanKeys.add(key);
    }
  }
  for (const organisationId of unfinishedOrganisations(context)) {
    do {
      yield* syncOrganisation(context, organisationId);
    } while (hasMorePages(context, organisationId));
  }
  resendCopies(context);
  const done = unfinishedOrganisations(context).size === 0 && !holdsCopiesOfSilentOwners(context);
  if (!done) {
    yield* sleepUntil(context.clock.monotonicMs + ROUND_DELAY_MS);
  }
  return done;
}

/** True if a page was just settled and more records remain, so that the next page can follow immediately. */
function hasMorePages(context: CoreContext, organisationId: string): boolean {
  const ledger = context.board.money.organisations.get(organisationId);
  const justSettled =
    ledger?.lastSettleAtMs === context.clock.monotonicMs && ledger.reachable && !ledger.busy;
  return justSettled && settleableRecords(context, organisationId).length > 0;
}

/** Organisations with outstanding shares, orphaned usage copies, or owned records that exist only in this process. */
function unfinishedOrganisations(context: CoreContext): Set<string> {
  const { shares, ownRecords, copies, orphanKeys } = context.board.money;
  const open = [...shares.values()].filter((share) => outstandingMicros(share) > 0);
  const unsafe = [...ownRecords].filter(([key]) => !isReplicated(context, key)).map(([, record]) => record);
  const orphans = [...orphanKeys].flatMap((key) => copies.get(key)?.record ?? []);
  return new Set([...open, ...unsafe, ...orphans].map((item) => item.organisationId));
}

/** True if this router holds copies of owners that it no longer hears: a reclaim will ask for them. */
function holdsCopiesOfSilentOwners(context: CoreContext): boolean {
  const owners = new Set(liveRegionPeers(context).map((peer) => peer.sender.incarnationId));
  return [...context.board.money.copies.values()].some(({ record }) => !owners.has(record.incarnationId));
}
