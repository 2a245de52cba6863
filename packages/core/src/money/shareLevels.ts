import type { CoreContext } from '../context.ts';
import type { ShareLevel } from '../types/messages.ts';

/** What this router can still spend, by organisation, for heartbeats and status. */
export function shareLevels(_context: CoreContext): ShareLevel[] {
  // Added with the share ledger.
  return [];
}
