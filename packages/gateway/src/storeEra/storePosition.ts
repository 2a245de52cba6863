/**
 * Positions in the history of a store that may come back from a copy of itself. Each return begins an era, in which
 * versions are given out again, so that a version can only be compared within its era. A position is one number with the
 * era in its upper part, like a transaction id of ZooKeeper with its epoch: the later of two positions is the greater
 * number, and 0 is before all of them. Positions of a store without eras are its versions.
 */

/** Versions of one era: enough for a counter that starts at the Unix time in milliseconds. */
const VERSIONS_PER_ERA = 2 ** 43;
/** Eras that a position distinguishes. The numbers of later ones begin again at 0. */
const DISTINCT_ERAS = 2 ** 10;

/** Version to check a row against if the row must not match: more than any store gives out. */
export const NEVER_VERSION = Number.MAX_SAFE_INTEGER;

/** Returns undefined for a version that a position cannot hold. */
export function toPosition(era: number | undefined, version: number): number | undefined {
  if (era === undefined) {
    return version;
  }
  return version < VERSIONS_PER_ERA ? (era % DISTINCT_ERAS) * VERSIONS_PER_ERA + version : undefined;
}

/** Returns the version of a position in this era, 0 for 0; undefined if the position is of another era. */
export function versionInEra(era: number | undefined, position: number): number | undefined {
  if (era === undefined || position === 0) {
    return position;
  }
  return isSameEra(position, (era % DISTINCT_ERAS) * VERSIONS_PER_ERA)
    ? position % VERSIONS_PER_ERA
    : undefined;
}

export function isSameEra(position: number, other: number): boolean {
  return Math.floor(position / VERSIONS_PER_ERA) === Math.floor(other / VERSIONS_PER_ERA);
}

/** True if a position belongs to an earlier era than another. */
export function isOfEarlierEra(position: number, other: number): boolean {
  return Math.floor(position / VERSIONS_PER_ERA) < Math.floor(other / VERSIONS_PER_ERA);
}
