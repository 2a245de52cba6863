import { rendezvousOrder } from '@pimentostall/core';
import type { GatewayContext } from '../context.ts';

/** Least number of home routers per organisation, divided among the regions. */
const MIN_HOME_ROUTERS = 3;
/** Least number in each region: one may be down. */
const MIN_HOME_ROUTERS_OF_REGION = 2;

/**
 * Ids of the routers that draw an organisation's tokens in advance: those of this router's region first, each region in
 * rendezvous order; empty in a small fleet. All routers compute the same set from the same membership without
 * communicating. When load is spread thinly over many routers, a few of them draw and the others borrow from them,
 * instead of each updating the organisation's row for every request. Each region has its own, so that loans do not
 * depend on the link between regions.
 */
export function homeRouters(
  { board, self }: Pick<GatewayContext, 'board' | 'self'>,
  organisationName: string,
): readonly string[] {
  if (!board.routers.isLargeFleet) {
    return [];
  }
  return board.homeRouters.getOrCompute(organisationName, () => {
    const idsByRegion = new Map<string, string[]>([[self.region, [self.routerId]]]);
    for (const { entry } of board.routers.values()) {
      if (entry.ready && entry.routerId !== self.routerId) {
        const ids = idsByRegion.get(entry.region) ?? [];
        ids.push(entry.routerId);
        idsByRegion.set(entry.region, ids);
      }
    }
    const countPerRegion = Math.max(
      MIN_HOME_ROUTERS_OF_REGION,
      Math.ceil(MIN_HOME_ROUTERS / idsByRegion.size),
    );
    return [...idsByRegion.values()].flatMap((ids) =>
      rendezvousOrder(organisationName, ids).slice(0, countPerRegion),
    );
  });
}
