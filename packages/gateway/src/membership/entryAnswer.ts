import type { RouterView } from '../blackboard.ts';
import type { RouterEntry } from '../types.ts';

/** Most addresses that one entry answer holds. */
const MAX_ADDRESSES = 64;

export interface EntryAnswerOptions {
  readonly routerSilentMs: number;
}

/**
 * Addresses of the routers that a caller may connect to: all that are ready and were heard of late, so that the loss
 * of an availability zone leaves addresses that work.
 *
 * @param storeHeardMs time of the last reply of the store: rows are only judged silent while the store answers.
 */
export function entryAnswer(
  self: RouterEntry,
  selfReady: boolean,
  routers: Iterable<RouterView>,
  nowMs: number,
  storeHeardMs: number | undefined,
  options: EntryAnswerOptions,
): string[] {
  const judgedAtMs = Math.min(nowMs, storeHeardMs ?? nowMs);
  const others = [...routers]
    .filter(
      ({ entry, changedAtMs }) =>
        entry.routerId !== self.routerId && entry.ready && judgedAtMs - changedAtMs <= options.routerSilentMs,
    )
    .map(({ entry }) => entry.callerAddress);
  const addresses = selfReady ? [self.callerAddress, ...others] : others;
  return [...new Set(addresses)].slice(0, MAX_ADDRESSES);
}
