import type { CoreContext } from '../context.ts';
import type { ShareLevel } from '../types/messages.ts';
import { availableMicros } from './shares.ts';

/** Available amounts of this router's shares, for heartbeats. */
export function shareLevels(context: CoreContext): ShareLevel[] {
  return [...context.board.money.shares.values()]
    .map((share) => ({
      organisationId: share.organisationId,
      availableMicros: Math.max(0, availableMicros(share)),
    }))
    .filter((level) => level.availableMicros > 0);
}
