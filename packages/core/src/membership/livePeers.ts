import type { CoreContext } from '../context.ts';
import type { PeerInfo } from './types.ts';

/** Returns peers of the local region that sent a heartbeat within the timeout, sorted by peer address. */
export function liveRegionPeers(context: CoreContext): PeerInfo[] {
  const { board, clock, options } = context;
  return [...board.membership.peers.values()]
    .filter((peer) => peer.sender.region === board.identity.region)
    .filter((peer) => clock.monotonicMs - peer.heardAtMs <= options.peerTimeoutMs)
    .sort((a, b) => a.sender.peerAddress.localeCompare(b.sender.peerAddress));
}
