export interface PlacementOptions {
  /** Assumed prefill rate of an engine, in prompt tokens per millisecond. */
  readonly prefillTokensPerMs: number;
  /** Number of home engines of a shared prompt part; other engines are chosen when these are busy. */
  readonly homesPerPart: number;
  /** Cost of each request that this router has in flight at the engine: decode steps slow down with batch size. */
  readonly batchCostMs: number;
  /** Cost of an upstream in another availability zone, beyond its latency, for the traffic between zones. */
  readonly otherZoneCostMs: number;
  readonly otherRegionCostMs: number;
  /** Cost of a failed request to its caller; weighted by the failure rate of the upstream. */
  readonly failureCostMs: number;
  /** Time after which an unused part is assumed to be evicted from the cache of an engine. */
  readonly cacheRetentionMs: number;
  /** Time within which the events of an engine must have reported a part that was sent to it. */
  readonly cacheEventLagLimitMs: number;
  /** Preference for home engines: while no engine holds a part, all routers choose alike without communication. */
  readonly homePreferenceMs: number;
  /** Cost of an upstream that has just resumed after it asked for time; falls to 0 within `resumeRampMs`. */
  readonly resumeCostMs: number;
  readonly resumeRampMs: number;
  /** Engines whose costs differ by less than this are chosen by chance where routers share loads. */
  readonly spreadToleranceMs: number;
  /** Initial ejection time of an upstream after consecutive failures; doubles up to `ejectionMaxMs`. */
  readonly ejectionMs: number;
  readonly ejectionMaxMs: number;
  /** Number of consecutive failures after which an upstream is ejected. */
  readonly ejectionFailures: number;
}

export const DEFAULT_PLACEMENT: PlacementOptions = {
  prefillTokensPerMs: 50,
  homesPerPart: 2,
  batchCostMs: 2,
  otherZoneCostMs: 2,
  otherRegionCostMs: 25,
  failureCostMs: 600,
  cacheRetentionMs: 10_000,
  cacheEventLagLimitMs: 1_500,
  homePreferenceMs: 40,
  resumeCostMs: 300,
  resumeRampMs: 1_500,
  spreadToleranceMs: 5,
  ejectionMs: 500,
  ejectionMaxMs: 4_000,
  ejectionFailures: 3,
};
