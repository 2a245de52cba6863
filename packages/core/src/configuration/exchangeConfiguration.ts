import type { CoreContext } from '../context.ts';
import type { StoredConfiguration } from '../types/configuration.ts';
import type { PeerSender } from '../types/messages.ts';

/** Answers a peer that knows only a lower revision. */
export function handleConfigurationRequest(
  _context: CoreContext,
  _sender: PeerSender,
  _knownRevision: number,
): void {
  // Added with configuration.
}

/** Takes a higher revision from a peer. */
export function handleConfigurationReply(_context: CoreContext, _configuration: StoredConfiguration): void {
  // Added with configuration.
}
