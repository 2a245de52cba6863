import type { CoreContext } from '../context.ts';
import type { PeerInfo } from './types.ts';

/** Peers of the own region that were heard within the peer timeout, in a stable order. */
export function liveRegionPeers(context: CoreContext): PeerInfo[] {
  const { board, clock, options } = context;
  return [...board.membership.peers.values()]
    .filter((peer) => peer.sender.region === board.identity.region)
    .filter((peer) => clock.monotonicMs - peer.heardAtMs <= options.peerTimeoutMs)
    .sort((a, b) => a.sender.peerAddress.localeCompare(b.sender.peerAddress));
}
