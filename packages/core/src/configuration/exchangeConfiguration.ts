import type { CoreContext } from '../context.ts';
import { EffectKind } from '../types/effects.ts';
import type { StoredConfiguration } from '../types/configuration.ts';
import type { PeerSender } from '../types/messages.ts';
import { PeerMessageKind } from '../types/messages.ts';
import { activateConfiguration } from './activateConfiguration.ts';

/** Replies to a peer that has an older revision. */
export function handleConfigurationRequest(
  context: CoreContext,
  sender: PeerSender,
  knownRevision: number,
): void {
  const configuration = context.board.configuration?.stored;
  if (configuration === undefined || configuration.revision <= knownRevision) {
    return;
  }
  context.emit({
    kind: EffectKind.PeerSend,
    peerAddress: sender.peerAddress,
    message: { kind: PeerMessageKind.ConfigurationReply, configuration },
  });
}

/** Activates a newer revision received from a peer. */
export function handleConfigurationReply(context: CoreContext, configuration: StoredConfiguration): void {
  activateConfiguration(context, configuration);
}
