import type { GatewayBlackboard, RouterView } from '../blackboard.ts';
import type { RouterEntry } from '../types.ts';

/** Most addresses that one entry answer holds. */
const MAX_ADDRESSES = 64;

export type StoreReplyTimes = Pick<GatewayBlackboard, 'storeLastReplyAtMs' | 'storeRecoveredAtMs'>;

export interface EntryAddressOptions {
  readonly routerSilentMs: number;
}

/**
 * Addresses of the routers that a caller may connect to: all that are ready and were heard of late, so that the loss
 * of an availability zone leaves addresses that work.
 *
 * @param store when the store was heard: rows are only judged silent over a time in which it answered without a gap.
 */
export function chooseEntryAddresses(
  self: RouterEntry,
  selfReady: boolean,
  routers: Iterable<RouterView>,
  nowMs: number,
  store: StoreReplyTimes,
  options: EntryAddressOptions,
): string[] {
  const judgedAtMs = Math.min(nowMs, store.storeLastReplyAtMs ?? nowMs);
  const judgedFromMs = store.storeRecoveredAtMs ?? -Infinity;
  const isHeard = (changedAtMs: number): boolean =>
    judgedAtMs - Math.max(changedAtMs, judgedFromMs) <= options.routerSilentMs;
  const others = [...routers]
    .filter(
      ({ entry, changedAtMs }) => entry.routerId !== self.routerId && entry.ready && isHeard(changedAtMs),
    )
    .map(({ entry }) => entry.callerAddress);
  const addresses = selfReady ? [self.callerAddress, ...others] : others;
  return [...new Set(addresses)].slice(0, MAX_ADDRESSES);
}
