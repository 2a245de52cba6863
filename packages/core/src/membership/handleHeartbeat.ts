import type { CoreContext } from '../context.ts';
import { RouterState } from '../types/messages.ts';
import type { PeerMessage, PeerMessageKind, PeerSender } from '../types/messages.ts';

export type HeartbeatMessage = Extract<PeerMessage, { readonly kind: PeerMessageKind.Heartbeat }>;

/** Records a peer heartbeat. Late messages never move an incarnation back to an earlier state. */
export function handleHeartbeat(context: CoreContext, sender: PeerSender, message: HeartbeatMessage): void {
  const { board, clock } = context;
  if (sender.peerAddress === board.identity.peerAddress) {
    return;
  }
  const existing = board.membership.peers.get(sender.peerAddress);
  const previous = existing?.sender.incarnationId === sender.incarnationId ? existing : undefined;
  board.membership.peers.set(sender.peerAddress, {
    sender,
    state: previous?.state === RouterState.Draining ? RouterState.Draining : message.state,
    callerAddress: message.callerAddress,
    configurationRevision: Math.max(message.configurationRevision, previous?.configurationRevision ?? 0),
    openRequestCount: message.openRequestCount,
    shareLevels: message.shareLevels,
    heardAtMs: clock.monotonicMs,
  });
}
