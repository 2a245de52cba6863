import type { CoreContext } from '../context.ts';
import { rendezvousOrder } from '../hash.ts';
import { liveRegionPeers } from '../membership/livePeers.ts';
import { RouterState } from '../types/messages.ts';

const POLLER_COUNT = 2;
const POLLER_KEY = 'configuration-poller';

/** Whether this router is one of those that poll the revision for the region, so that the store sees few reads. */
export function isPoller(context: CoreContext): boolean {
  const { peerAddress } = context.board.identity;
  const peers = liveRegionPeers(context)
    .filter((peer) => peer.state !== RouterState.Draining)
    .map((peer) => peer.sender.peerAddress);
  return rendezvousOrder(POLLER_KEY, [peerAddress, ...peers])
    .slice(0, POLLER_COUNT)
    .includes(peerAddress);
}
