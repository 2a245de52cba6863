import type { CoreContext } from '../context.ts';
import type { PeerMessage, PeerMessageKind, PeerSender } from '../types/messages.ts';

export type HeartbeatMessage = Extract<PeerMessage, { readonly kind: PeerMessageKind.Heartbeat }>;

/** Records what a peer says of itself. */
export function handleHeartbeat(context: CoreContext, sender: PeerSender, message: HeartbeatMessage): void {
  context.board.membership.peers.set(sender.peerAddress, {
    sender,
    state: message.state,
    callerAddress: message.callerAddress,
    configurationRevision: message.configurationRevision,
    openRequestCount: message.openRequestCount,
    shareLevels: message.shareLevels,
    heardAtMs: context.clock.monotonicMs,
  });
}
