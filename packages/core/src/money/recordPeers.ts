import type { CoreContext } from '../context.ts';
import { entryAddresses } from '../entry/entryAddresses.ts';
import { rendezvousOrder } from '../hash.ts';
import { liveRegionPeers } from '../membership/livePeers.ts';
import type { PeerInfo } from '../membership/types.ts';
import { RouterState } from '../types/messages.ts';

/** Up to this number of peers all are asked; in larger regions only those that hold an organisation's records. */
const ASK_ALL_LIMIT = 12;

/** Holders that are asked beyond the present ones, because membership may have changed since the copy was made. */
const EXTRA_HOLDERS = 2;

/** Peers that will stay: a draining router takes the copies that it holds with it when it exits. */
export function stayingPeers(context: CoreContext): PeerInfo[] {
  return liveRegionPeers(context).filter((peer) => peer.state !== RouterState.Draining);
}

/**
 * Peers that hold copies of an organisation's records: other availability zones first, because a zone fails as a
 * whole. Each organisation has its own order, so that copies spread over the region and a lookup knows where to ask.
 * A draining peer is taken only where no other is left: it counts for no safety, but it settles its used copies.
 */
export function copyPeerAddresses(context: CoreContext, organisationId: string): string[] {
  const { identity } = context.board;
  const staying = stayingPeers(context);
  const ordered = inOrderOf(organisationId, staying.length > 0 ? staying : liveRegionPeers(context));
  const elsewhere = ordered.filter((peer) => peer.sender.availabilityZone !== identity.availabilityZone);
  const here = ordered.filter((peer) => peer.sender.availabilityZone === identity.availabilityZone);
  return [...elsewhere, ...here].slice(0, context.options.copyCount).map((peer) => peer.sender.peerAddress);
}

/** Peers that may hold a record of an organisation or run one of its requests. */
export function lookupPeers(context: CoreContext, organisationId: string): PeerInfo[] {
  const peers = liveRegionPeers(context);
  if (peers.length <= ASK_ALL_LIMIT) {
    return peers;
  }
  const entries = new Set(entryAddresses(context, organisationId));
  const zones = new Set(peers.map((peer) => peer.sender.availabilityZone));
  const holders = [...zones].flatMap((zone) => {
    const inZone = peers.filter((peer) => peer.sender.availabilityZone === zone);
    return inOrderOf(organisationId, inZone).slice(0, context.options.copyCount + EXTRA_HOLDERS);
  });
  return [...new Set([...peers.filter((peer) => entries.has(peer.callerAddress)), ...holders])];
}

function inOrderOf(organisationId: string, peers: readonly PeerInfo[]): PeerInfo[] {
  const byAddress = new Map(peers.map((peer) => [peer.sender.peerAddress, peer]));
  return rendezvousOrder(organisationId, [...byAddress.keys()]).flatMap(
    (address) => byAddress.get(address) ?? [],
  );
}
