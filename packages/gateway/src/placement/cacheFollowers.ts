export interface CacheFollowerInput {
  /** Maximum number of routers that an engine lets follow its cache events. */
  readonly maxCacheFollowers: number;
  readonly routerCount: number;
  readonly engineCount: number;
  readonly isLargeFleet: boolean;
  /** Engines that one router of a large fleet follows, on average; with 0, none follows any. */
  readonly maxFollowedEngines?: number | undefined;
}

/** Each followed engine costs about a call a second. */
export const DEFAULT_MAX_FOLLOWED_ENGINES = 6;
/** Least number of followers of an engine: one may be down. */
const MIN_CACHE_FOLLOWERS = 2;

/**
 * Returns the number of routers that follow the cache events of one engine. Answers the load of a fleet at rest: while
 * each router can follow all engines, their events tell it where each prompt is cached; in a large fleet it follows few
 * of them and relies on the home engines of a prompt.
 */
export function cacheFollowerCount({
  maxCacheFollowers,
  routerCount,
  engineCount,
  isLargeFleet,
  maxFollowedEngines = DEFAULT_MAX_FOLLOWED_ENGINES,
}: CacheFollowerInput): number {
  if (!isLargeFleet) {
    return maxCacheFollowers;
  }
  if (maxFollowedEngines === 0) {
    return 0;
  }
  const followers = Math.floor((maxFollowedEngines * routerCount) / Math.max(1, engineCount));
  return Math.min(maxCacheFollowers, Math.max(MIN_CACHE_FOLLOWERS, followers));
}
