export interface EngineLoadOptions {
  /** Mean interval between the posts of a router; one post may be ahead of it. */
  readonly postIntervalMs: number;
  /** Change of the pending prompt tokens that is posted as soon as `postIntervalMs` allows it. */
  readonly largeChangeTokens: number;
  /** Delay of smaller changes after the previous post. */
  readonly smallChangeDelayMs: number;
  /** Period of posts while the counts do not change; they would expire otherwise. */
  readonly refreshPeriodMs: number;
  /** Time after which the counts of a silent router, and the sums of a silent collector, no longer count. */
  readonly expiryMs: number;
  /** Period of the exchange between two collectors of a region. */
  readonly exchangePeriodMs: number;
  /** The same between regions: few requests leave their region. */
  readonly otherRegionPeriodMs: number;
  /** Time for which a collector that did not reply is passed over. */
  readonly failedPauseMs: number;
  readonly routersPerCollector: number;
  /** Maximum number of collectors of a region: each exchanges sums with all others. */
  readonly maxCollectorsPerRegion: number;
}

export const DEFAULT_ENGINE_LOAD: EngineLoadOptions = {
  postIntervalMs: 350,
  largeChangeTokens: 2_000,
  smallChangeDelayMs: 500,
  refreshPeriodMs: 1_000,
  expiryMs: 1_500,
  exchangePeriodMs: 300,
  otherRegionPeriodMs: 700,
  failedPauseMs: 3_000,
  routersPerCollector: 10,
  maxCollectorsPerRegion: 10,
};
