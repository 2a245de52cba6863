import { rendezvousOrder } from '@pimentostall/core';
import type { GatewayContext } from '../context.ts';
import type { RouterView } from '../membership/routerRegistry.ts';
import type { RouterEntry } from '../types.ts';
import { homeRouters } from './homeRouters.ts';

/** Peers asked in one round; asking more would exceed what callers wait for. */
const MAX_PEERS_ASKED = 5;
/** Time for which a peer that did not reply in time is asked last. */
const SILENT_PEER_MS = 2_000;
/** Bound of the remembered peers; there are a few home routers per organisation. */
const MAX_SILENT_PEERS = 256;
/** Rank of peers in other regions: behind all peers of the own region. */
const OTHER_REGION_RANK = 1_000;
/** Rank of peers that did not reply recently: behind all others. */
const SILENT_RANK = 10_000;

/** Peers that did not reply to a loan request, with the monotonic time until which they are asked last. */
export type SilentPeers = Map<string, number>;

export function recordPeerReply(peers: SilentPeers, routerId: string, replied: boolean, nowMs: number): void {
  if (replied) {
    peers.delete(routerId);
  } else {
    if (peers.size >= MAX_SILENT_PEERS) {
      peers.clear();
    }
    peers.set(routerId, nowMs + SILENT_PEER_MS);
  }
}

/**
 * Ready peers in the order in which they are asked for a loan. In a large fleet, these are the home routers of the own
 * region, those of other regions and then random routers of the own region; borrowers are divided among the home
 * routers. In a small fleet, the peers of the own region come first, in random order.
 */
export function orderLenders(context: GatewayContext, organisationName: string): RouterEntry[] {
  const { board, self, random, loop } = context;
  const homes = homeRouters(context, organisationName);
  const order = homes.length === 0 ? homes : rendezvousOrder(`${self.routerId}/${organisationName}`, homes);
  const nowMs = loop.nowMs();
  const views: Iterable<RouterView> =
    homes.length === 0 ? board.routers.values() : lenderCandidates(context, order);
  return [...views]
    .filter(({ entry }) => entry.routerId !== self.routerId && entry.ready)
    .map(({ entry }) => {
      const home = order.indexOf(entry.routerId);
      const regionRank = entry.region === self.region ? 0 : OTHER_REGION_RANK;
      const silentRank = (board.silentPeers.get(entry.routerId) ?? -Infinity) > nowMs ? SILENT_RANK : 0;
      const otherRank = homes.length === 0 ? random() : OTHER_REGION_RANK * 2 + random();
      return { entry, rank: silentRank + (home >= 0 ? regionRank + home : regionRank + otherRank) };
    })
    .sort((a, b) => a.rank - b.rank)
    .slice(0, MAX_PEERS_ASKED)
    .map(({ entry }) => entry);
}

/** The home routers and a few random routers, so that the whole membership is not sorted for each round. */
function lenderCandidates({ board, random, self }: GatewayContext, homes: readonly string[]): RouterView[] {
  const views = homes.flatMap((routerId) => board.routers.get(routerId) ?? []);
  const others = [...board.routers.values()].filter(
    ({ entry }) => entry.region === self.region && !homes.includes(entry.routerId),
  );
  const other = others[Math.floor(random() * others.length)];
  return other === undefined ? views : [...views, other];
}
