import type { CoreContext } from '../context.ts';
import { rendezvousOrder } from '../hash.ts';
import { liveRegionPeers } from '../membership/livePeers.ts';
import { RouterState } from '../types/messages.ts';

/**
 * Returns the caller addresses that an organisation should use, best first, or none if no router is live.
 * Routers of a region that know the same peers return the same addresses, so that few routers hold an
 * organisation's money.
 */
export function entryAddresses(context: CoreContext, organisationId: string): string[] {
  return chooseEntryAddresses(
    organisationId,
    liveCallerAddresses(context),
    entryAddressCount(context, organisationId),
  );
}

/** Returns the `count` highest-ranked candidates for the organisation. */
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

function entryAddressCount(context: CoreContext, organisationId: string): number {
  const organisation = context.board.configuration?.organisationById.get(organisationId);
  const weight = organisation?.entryWeight ?? 1;
  return Math.max(1, Math.ceil(context.options.entryReplicas * weight));
}
