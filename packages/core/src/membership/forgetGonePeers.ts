import type { CoreContext } from '../context.ts';
import type { PeerInfo } from './types.ts';

/** A reclaim checks the last heartbeat after `reclaimGraceMs`, so entries are kept for longer than that. */
const GRACE_PERIODS_KEPT = 2;

/** Removes peers that are both silent and unlisted. Either condition alone may be a fault of its source. */
export function forgetGonePeers(context: CoreContext): void {
  const { peers } = context.board.membership;
  for (const [address, peer] of peers) {
    if (isSilent(context, peer) && isAbsent(context, peer)) {
      peers.delete(address);
    }
  }
}

function isSilent(context: CoreContext, peer: PeerInfo): boolean {
  const silentForMs = context.clock.monotonicMs - peer.heardAtMs;
  return silentForMs > GRACE_PERIODS_KEPT * context.options.reclaimGraceMs;
}

function isAbsent(context: CoreContext, peer: PeerInfo): boolean {
  const { listReadAtMs, vms } = context.board.membership;
  return listReadAtMs !== undefined && !vms.has(peer.sender.vmId);
}
