import { rendezvousOrder } from '@pimentostall/core';
import type { GatewayBlackboard } from '../blackboard.ts';
import type { RouterEntry } from '../types.ts';
import type { RouterView } from './routerRegistry.ts';

/** Maximum number of addresses in one entry response. */
const MAX_ADDRESSES = 64;
/**
 * Routers of a region from which its callers are sent to them alone: enough for the load of the region while one of
 * several availability zones is lost.
 */
const MIN_ROUTERS_OF_REGION = 8;

export type StoreReplyTimes = Pick<GatewayBlackboard, 'storeLastReplyAtMs' | 'storeRecoveredAtMs'>;

/** What a caller that asks for addresses tells about itself. */
export interface EntryCaller {
  readonly region?: string | undefined;
  /** Its network address. */
  readonly host?: string | undefined;
  /** Regions that the routes of the requested host allow; undefined if none of them is restricted. */
  readonly allowedRegions?: ReadonlySet<string> | undefined;
}

export interface EntryAddressOptions {
  readonly routerSilentMs: number;
}

/** Whether a router has sent a heartbeat recently, as far as the store's replies tell. */
export function isRecentRouter(
  { changedAtMs }: RouterView,
  nowMs: number,
  store: StoreReplyTimes,
  { routerSilentMs }: EntryAddressOptions,
): boolean {
  const evaluatedAtMs = Math.min(nowMs, store.storeLastReplyAtMs ?? nowMs);
  const recoveredAtMs = store.storeRecoveredAtMs ?? -Infinity;
  return evaluatedAtMs - Math.max(changedAtMs, recoveredAtMs) <= routerSilentMs;
}

/** Callers of restricted routes are only sent to routers of their own region or of an allowed one. */
function mayNameRegion(region: string, { region: ownRegion, allowedRegions }: EntryCaller): boolean {
  return allowedRegions === undefined || region === ownRegion || allowedRegions.has(region);
}

/**
 * Returns the addresses of the routers that a caller may connect to: all routers that are ready and have sent a
 * heartbeat recently. Listing all of them leaves working addresses if an availability zone is lost. In a large fleet
 * only those of the caller's region are listed, so that requests do not cross the narrow link between regions twice.
 * Empty if no router may be named.
 *
 * @param store times of the store's replies. While the store is unreachable, rows cannot change; a router is therefore
 *   only considered silent after a period during which the store replied without interruption.
 * @param caller its region is undefined if it did not state it. Of more routers than a response can hold, each caller
 *   gets its own, the same each time, so that all of them are named equally often and it keeps its connections.
 */
export function chooseEntryAddresses(
  self: RouterEntry,
  selfReady: boolean,
  routers: Iterable<RouterView>,
  nowMs: number,
  store: StoreReplyTimes,
  options: EntryAddressOptions,
  caller: EntryCaller = {},
): string[] {
  const others = [...routers]
    .filter(
      (view) =>
        view.entry.routerId !== self.routerId &&
        view.entry.ready &&
        isRecentRouter(view, nowMs, store, options),
    )
    .map(({ entry }) => entry);
  const candidates = (selfReady ? [self, ...others] : others).filter(({ region }) =>
    mayNameRegion(region, caller),
  );
  const ofRegion = candidates.filter(({ region }) => region === caller.region);
  const zoneCount = new Set(ofRegion.map(({ availabilityZone }) => availabilityZone)).size;
  const chosen = ofRegion.length >= MIN_ROUTERS_OF_REGION && zoneCount > 1 ? ofRegion : candidates;
  const addresses = [...new Set(chosen.map(({ callerAddress }) => callerAddress))];
  return addresses.length <= MAX_ADDRESSES
    ? addresses
    : rendezvousOrder(caller.host ?? '', addresses).slice(0, MAX_ADDRESSES);
}
