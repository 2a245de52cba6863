import type { CoreContext } from '../context.ts';
import { rendezvousOrder } from '../hash.ts';
import { liveRegionPeers } from '../membership/livePeers.ts';
import { RouterState } from '../types/messages.ts';

/**
 * The caller addresses that an organisation should use, best first. Routers of one region that know the same
 * peers give the same answer, so few routers hold an organisation's money. Empty if no router is Live.
 */
export function entryAddresses(context: CoreContext, organisationId: string): string[] {
  return chooseEntryAddresses(
    organisationId,
    liveCallerAddresses(context),
    entryCount(context, organisationId),
  );
}

/** The first `count` candidates in the organisation's own order. */
export function chooseEntryAddresses(
  organisationId: string,
  candidates: readonly string[],
  count: number,
): string[] {
  return rendezvousOrder(organisationId, candidates).slice(0, count);
}

function liveCallerAddresses(context: CoreContext): string[] {
  const { board } = context;
  const addresses = liveRegionPeers(context)
    .filter((peer) => peer.state === RouterState.Live)
    .map((peer) => peer.callerAddress);
  if (board.routerState === RouterState.Live) {
    addresses.push(board.identity.callerAddress);
  }
  return [...new Set(addresses)];
}

function entryCount(context: CoreContext, organisationId: string): number {
  const organisation = context.board.configuration?.organisationById.get(organisationId);
  const weight = organisation?.entryWeight ?? 1;
  return Math.max(1, Math.ceil(context.options.entryReplicas * weight));
}
