/** Policy and timing of the core. Every duration is in milliseconds of the monotonic clock unless it says otherwise. */
export interface CoreOptions {
  /** A step gap above this counts as a pause of the process. */
  readonly pauseLimitMs: number;
  readonly tableTimeoutMs: number;
  readonly heartbeatIntervalMs: number;
  readonly regionDigestIntervalMs: number;
  /** A peer that was not heard for this long is not Live. */
  readonly peerTimeoutMs: number;
  readonly membershipIntervalMs: number;
  readonly probeIntervalMs: number;
  readonly configurationPollIntervalMs: number;
  /** How long callers may keep an entry answer. */
  readonly entryKeepMs: number;
  /** Entry addresses for an organisation of weight 1. */
  readonly entryReplicas: number;
  /** Longest wait of a request for a draw or for releases. */
  readonly reserveWaitMs: number;
  readonly shareCheckIntervalMs: number;
  /** Demand horizon of a share in the region that holds the store. */
  readonly nearHorizonMs: number;
  /** Demand horizon of a share in a region that can be partitioned from the store. */
  readonly farHorizonMs: number;
  /** Largest part of the unallocated budget that one draw takes. */
  readonly drawFraction: number;
  /** Excess share is returned after it was idle for this long. */
  readonly idleReturnMs: number;
  readonly settleIntervalMs: number;
  readonly settlePageSize: number;
  /** Wall-clock window in which a request identity is recognised as already billed. */
  readonly idempotencyWindowMs: number;
  readonly copyCount: number;
  readonly reservationCopyWaitMs: number;
  readonly usageCopyWaitMs: number;
  readonly reclaimGraceMs: number;
  readonly fenceWaitMs: number;
  /** Held money without evidence is released after this wall-clock time. */
  readonly heldLimitMs: number;
  /** A stopping router exits after this time although money is left that only a reclaim can return. */
  readonly drainLimitMs: number;
  readonly resumeWindowMs: number;
  readonly requestDeadlineMs: number;
  readonly orderIntervalMs: number;
  /** Time for which one router may give orders to the engines of a service. */
  readonly orderLeaseMs: number;
  /** Largest difference between the wall clocks of two routers. */
  readonly clockAllowanceMs: number;
  /** Model loads that the weight store serves in a minute, for the whole fleet. */
  readonly weightLoadsPerMinute: number;
  /** Retries allowed as a fraction of requests. */
  readonly retryBudgetFraction: number;
  readonly ejectAfterFailures: number;
  readonly ejectMs: number;
  /** Added to the score of an engine in the other region, in expected milliseconds of waiting. */
  readonly farEngineCostMs: number;
}

export const DEFAULT_CORE_OPTIONS: CoreOptions = {
  pauseLimitMs: 2_000,
  tableTimeoutMs: 1_000,
  heartbeatIntervalMs: 1_000,
  regionDigestIntervalMs: 5_000,
  peerTimeoutMs: 3_000,
  membershipIntervalMs: 1_000,
  probeIntervalMs: 500,
  configurationPollIntervalMs: 2_000,
  entryKeepMs: 5_000,
  entryReplicas: 2,
  reserveWaitMs: 400,
  shareCheckIntervalMs: 1_000,
  nearHorizonMs: 1_800_000,
  farHorizonMs: 3_600_000,
  drawFraction: 0.25,
  idleReturnMs: 30_000,
  settleIntervalMs: 10_000,
  settlePageSize: 64,
  idempotencyWindowMs: 7_200_000,
  copyCount: 2,
  reservationCopyWaitMs: 50,
  usageCopyWaitMs: 300,
  reclaimGraceMs: 30_000,
  fenceWaitMs: 10_000,
  heldLimitMs: 600_000,
  // Outlasts a reclaim that needs the copies that this router holds.
  drainLimitMs: 90_000,
  resumeWindowMs: 10_000,
  requestDeadlineMs: 60_000,
  orderIntervalMs: 2_000,
  orderLeaseMs: 15_000,
  clockAllowanceMs: 1_000,
  weightLoadsPerMinute: 6,
  retryBudgetFraction: 0.1,
  ejectAfterFailures: 3,
  ejectMs: 10_000,
  farEngineCostMs: 200,
};
