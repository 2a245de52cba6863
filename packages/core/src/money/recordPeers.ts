import type { CoreContext } from '../context.ts';
import { entryAddresses } from '../entry/entryAddresses.ts';
import { rendezvousOrder } from '../hash.ts';
import { liveRegionPeers } from '../membership/livePeers.ts';
import type { PeerInfo } from '../membership/types.ts';
import { RouterState } from '../types/messages.ts';

/** In regions with more peers, lookups query only those that may hold an organisation's records. */
const QUERY_ALL_PEER_LIMIT = 12;

/** Peers queried per zone beyond `copyCount`, because membership may have changed since the copy was made. */
const EXTRA_COPY_HOLDERS = 2;

/** Live peers that are not draining: the copies that a draining router holds are lost when it exits. */
export function nonDrainingPeers(context: CoreContext): PeerInfo[] {
  return liveRegionPeers(context).filter((peer) => peer.state !== RouterState.Draining);
}

/**
 * Peers that receive copies of an organisation's records: other availability zones first, because a zone fails as a
 * whole. Each organisation has its own order, so that copies spread over the region and a lookup can find them.
 * Draining peers are used only if there are no others: their copies do not count as replicas, but a draining router
 * settles the usage copies that it holds.
 */
export function copyPeerAddresses(context: CoreContext, organisationId: string): string[] {
  const { identity } = context.board;
  const nonDraining = nonDrainingPeers(context);
  const ordered = orderPeers(organisationId, nonDraining.length > 0 ? nonDraining : liveRegionPeers(context));
  const otherZones = ordered.filter((peer) => peer.sender.availabilityZone !== identity.availabilityZone);
  const ownZone = ordered.filter((peer) => peer.sender.availabilityZone === identity.availabilityZone);
  return [...otherZones, ...ownZone]
    .slice(0, context.options.copyCount)
    .map((peer) => peer.sender.peerAddress);
}

/** Peers that may hold a record of an organisation or run one of its requests. */
export function lookupPeers(context: CoreContext, organisationId: string): PeerInfo[] {
  const peers = liveRegionPeers(context);
  if (peers.length <= QUERY_ALL_PEER_LIMIT) {
    return peers;
  }
  const entries = new Set(entryAddresses(context, organisationId));
  const zones = new Set(peers.map((peer) => peer.sender.availabilityZone));
  const holders = [...zones].flatMap((zone) => {
    const inZone = peers.filter((peer) => peer.sender.availabilityZone === zone);
    return orderPeers(organisationId, inZone).slice(0, context.options.copyCount + EXTRA_COPY_HOLDERS);
  });
  return [...new Set([...peers.filter((peer) => entries.has(peer.callerAddress)), ...holders])];
}

function orderPeers(organisationId: string, peers: readonly PeerInfo[]): PeerInfo[] {
  const byAddress = new Map(peers.map((peer) => [peer.sender.peerAddress, peer]));
  return rendezvousOrder(organisationId, [...byAddress.keys()]).flatMap(
    (address) => byAddress.get(address) ?? [],
  );
}
