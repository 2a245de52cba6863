import type { CoreContext } from '../context.ts';
import type { PeerInfo } from './types.ts';

/** Peers are kept for this many `reclaimGraceMs`, since a reclaim checks the last heartbeat after one. */
const RETENTION_GRACE_PERIODS = 2;

/** Removes peers that are both silent and unlisted. Either condition alone may be a fault of its source. */
export function removeStalePeers(context: CoreContext): void {
  const { peers } = context.board.membership;
  for (const [address, peer] of peers) {
    if (isSilent(context, peer) && isUnlisted(context, peer)) {
      peers.delete(address);
    }
  }
}

function isSilent(context: CoreContext, peer: PeerInfo): boolean {
  const silentForMs = context.clock.monotonicMs - peer.heardAtMs;
  return silentForMs > RETENTION_GRACE_PERIODS * context.options.reclaimGraceMs;
}

function isUnlisted(context: CoreContext, peer: PeerInfo): boolean {
  const { listReadAtMs, vms } = context.board.membership;
  return listReadAtMs !== undefined && !vms.has(peer.sender.vmId);
}
