export interface PlacementOptions {
  /** Prompt tokens that an engine reads in a millisecond, until it has been observed. */
  readonly prefillTokensPerMs: number;
  /** Engines that hold a shared prompt part while it is not hot. */
  readonly homesPerPart: number;
  /** Time added for each request of ours that an engine is working on: its steps grow with the batch. */
  readonly batchCostMs: number;
  /** Time added for an upstream in another availability zone, beyond its delay, for the bytes it moves. */
  readonly otherZoneCostMs: number;
  readonly otherRegionCostMs: number;
  /** Time that a failed request costs its caller. */
  readonly failureCostMs: number;
  /** Time after which a part that was not used counts as gone from an engine's memory. */
  readonly partMemoryMs: number;
  /** Time after which an engine's events must have told of a part that was sent to it. */
  readonly eventLagMs: number;
  /** Preference for the home of a part that no engine holds, so that routers that do not talk choose alike. */
  readonly homePreferenceMs: number;
  /** First and longest time for which an upstream that failed several times in a row is left out. */
  readonly ejectionMs: number;
  readonly ejectionMaxMs: number;
  /** Failures in a row that eject an upstream. */
  readonly ejectionFailures: number;
}

export const DEFAULT_PLACEMENT: PlacementOptions = {
  prefillTokensPerMs: 50,
  homesPerPart: 2,
  batchCostMs: 2,
  otherZoneCostMs: 2,
  otherRegionCostMs: 25,
  failureCostMs: 600,
  partMemoryMs: 10_000,
  eventLagMs: 1_500,
  homePreferenceMs: 40,
  ejectionMs: 500,
  ejectionMaxMs: 4_000,
  ejectionFailures: 3,
};
