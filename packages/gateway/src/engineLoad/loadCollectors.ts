import { rendezvousOrder } from '@pimentostall/core';
import type { GatewayContext } from '../context.ts';
import { isRecentRouter } from '../membership/entryAddresses.ts';
import type { RouterEntry } from '../types.ts';
import type { EngineLoadOptions } from './options.ts';

/** The part of the gateway context that `loadCollectors` uses. */
export type LoadCollectorsContext = Pick<GatewayContext, 'board' | 'options' | 'self'> & {
  readonly loop: Pick<GatewayContext['loop'], 'nowMs'>;
};

export interface LoadCollectors {
  /** The collectors of all regions; may contain this router. */
  readonly all: readonly RouterEntry[];
  /** The routers of this router's region in the order in which they become collectors. */
  readonly order: readonly RouterEntry[];
  /** Number of collectors in this router's region: the first of the order. */
  readonly count: number;
}

/**
 * Chooses the routers that collect the loads of the others in their region. All routers compute the same ones from the
 * same membership without communicating. Where their views differ, a router may get posts that does not count itself
 * as a collector; it collects them all the same and exchanges its sums with the collectors that it knows.
 */
export function loadCollectors(
  { board, loop, options, self }: LoadCollectorsContext,
  { routersPerCollector, maxCollectorsPerRegion }: EngineLoadOptions,
): LoadCollectors {
  const nowMs = loop.nowMs();
  const byRegion = new Map<string, Map<string, RouterEntry>>([
    [self.region, new Map([[self.routerId, self]])],
  ]);
  for (const view of board.routers.values()) {
    const { entry } = view;
    if (entry.routerId !== self.routerId && isRecentRouter(view, nowMs, board, options)) {
      const ofRegion = byRegion.get(entry.region) ?? new Map<string, RouterEntry>();
      byRegion.set(entry.region, ofRegion.set(entry.routerId, entry));
    }
  }
  const all: RouterEntry[] = [];
  let order: readonly RouterEntry[] = [];
  let count = 0;
  for (const [region, routers] of byRegion) {
    const ordered = rendezvousOrder(`load-collector|${region}`, [...routers.keys()]).flatMap(
      (routerId) => routers.get(routerId) ?? [],
    );
    const wanted = Math.min(maxCollectorsPerRegion, Math.ceil(ordered.length / routersPerCollector));
    all.push(...ordered.slice(0, wanted));
    if (region === self.region) {
      order = ordered;
      count = wanted;
    }
  }
  return { all, order, count };
}
