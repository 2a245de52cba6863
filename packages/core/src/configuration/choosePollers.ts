import type { CoreContext } from '../context.ts';
import { rendezvousOrder } from '../hash.ts';
import { liveRegionPeers } from '../membership/livePeers.ts';
import { RouterState } from '../types/messages.ts';

const POLLER_COUNT = 2;
const POLLER_KEY = 'configuration-poller';

/** Whether this router polls the revision for its region. Few routers poll, to limit the reads of the store. */
export function isPoller(context: CoreContext): boolean {
  const { peerAddress } = context.board.identity;
  const peers = liveRegionPeers(context)
    .filter((peer) => peer.state !== RouterState.Draining)
    .map((peer) => peer.sender.peerAddress);
  return rendezvousOrder(POLLER_KEY, [peerAddress, ...peers])
    .slice(0, POLLER_COUNT)
    .includes(peerAddress);
}
