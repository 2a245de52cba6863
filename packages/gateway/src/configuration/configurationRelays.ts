import { rendezvousOrder } from '@pimentostall/core';
import type { GatewayContext } from '../context.ts';
import { isRecentRouter } from '../membership/entryAddresses.ts';
import type { RouterEntry } from '../types.ts';

/** Least number of relays in a region: enough for two to be down. */
const MIN_RELAY_COUNT = 3;
/** Routers per relay: a relay must send a large document to its followers within the time limit of a change. */
const ROUTERS_PER_RELAY = 12;

/**
 * Routers of this router's region that read the configuration document from the store and pass it on to the others;
 * may contain this router. Empty in a small fleet, in which every router reads the store. All routers compute the same
 * relays from the same membership without communicating. The relays lie in different availability zones where possible,
 * so that the loss of a zone leaves some.
 *
 * Routers that are not ready count as well: at the start of a fleet none is, and one that drains follows the store
 * until it ends.
 *
 * @param isExcluded routers that do not work as relays for this router; the next ones take their place.
 */
export function configurationRelays(
  { board, loop, options, self }: GatewayContext,
  isExcluded: (routerId: string) => boolean = () => false,
): readonly RouterEntry[] {
  if (!board.routers.isLargeFleet) {
    return [];
  }
  const nowMs = loop.nowMs();
  const routersById = new Map([[self.routerId, self]]);
  for (const view of board.routers.values()) {
    const { entry } = view;
    if (
      entry.routerId !== self.routerId &&
      entry.region === self.region &&
      isRecentRouter(view, nowMs, board, options)
    ) {
      routersById.set(entry.routerId, entry);
    }
  }
  const count = Math.max(MIN_RELAY_COUNT, Math.ceil(routersById.size / ROUTERS_PER_RELAY));
  const candidates = rendezvousOrder(`configuration-relay|${self.region}`, [...routersById.keys()])
    .filter((routerId) => !isExcluded(routerId))
    .flatMap((routerId) => routersById.get(routerId) ?? []);
  const firstOfZones = new Map<string, RouterEntry>();
  for (const candidate of candidates) {
    if (!firstOfZones.has(candidate.availabilityZone)) {
      firstOfZones.set(candidate.availabilityZone, candidate);
    }
  }
  return [...new Set([...firstOfZones.values(), ...candidates])].slice(0, count);
}
