import { rendezvousOrder } from '@pimentostall/core';
import type { GatewayContext } from '../context.ts';

/** Routers that hold an organisation's money for the others: one may be down and one far away. */
const HOME_ROUTERS = 3;
/** Fleet from which organisations have homes: in a smaller one, each router's own demand is worth a share. */
const LEAST_ROUTERS_WITH_HOMES = 16;

/**
 * Ids of the routers that draw an organisation's money ahead of need, most likely first; empty in a small fleet. All
 * routers agree on them without a message. Answers load that is spread thinly over many routers: instead of each of
 * them changing the organisation's row for each request, a few draw, and the others borrow from them.
 */
export function homeRouters({ board, self }: GatewayContext, organisationName: string): readonly string[] {
  if (board.routers.size < LEAST_ROUTERS_WITH_HOMES) {
    return [];
  }
  const ready = [...board.routers.values()]
    .filter(({ entry }) => entry.ready && entry.routerId !== self.routerId)
    .map(({ entry }) => entry.routerId);
  return rendezvousOrder(organisationName, [self.routerId, ...ready]).slice(0, HOME_ROUTERS);
}
