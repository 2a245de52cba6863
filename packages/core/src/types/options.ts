/** Policy and timing of the core. Durations use the monotonic clock unless stated otherwise. */
export interface CoreOptions {
  /** A longer gap between two steps counts as a process pause. */
  readonly pauseLimitMs: number;
  readonly tableTimeoutMs: number;
  readonly heartbeatIntervalMs: number;
  /** Interval of heartbeats to routers in other regions. */
  readonly regionDigestIntervalMs: number;
  /** A peer that has sent no heartbeat for this long is not considered live. */
  readonly peerTimeoutMs: number;
  readonly membershipIntervalMs: number;
  readonly probeIntervalMs: number;
  readonly configurationPollIntervalMs: number;
  /** How long callers may cache an entry answer. */
  readonly entryKeepMs: number;
  /** Number of entry addresses for an organisation with entry weight 1. */
  readonly entryReplicas: number;
  /** Maximum time that a request waits for a draw or for released reservations. */
  readonly reserveWaitMs: number;
  readonly shareCheckIntervalMs: number;
  /** Demand horizon of a share in the region that hosts the store. */
  readonly nearHorizonMs: number;
  /** Demand horizon of a share in a region that can be partitioned from the store. */
  readonly farHorizonMs: number;
  /** Largest fraction of the unallocated budget that one draw may take. */
  readonly drawFraction: number;
  /** Excess share is returned after it has been idle for this long. */
  readonly idleReturnMs: number;
  readonly settleIntervalMs: number;
  /** Maximum number of usage records that one transaction settles. */
  readonly settlePageSize: number;
  /** Wall-clock window in which a repeated request is recognised as already billed. */
  readonly idempotencyWindowMs: number;
  /** Number of peers that receive a copy of each usage record. */
  readonly copyCount: number;
  readonly reservationCopyWaitMs: number;
  readonly usageCopyWaitMs: number;
  /** Minimum silence of a router before its peers reclaim its shares. */
  readonly reclaimGraceMs: number;
  /** A reclaim waits this long after fencing a router, which checks for a fence twice in this time. */
  readonly fenceWaitMs: number;
  /** Held money with no evidence of usage is released after this wall-clock time. */
  readonly heldLimitMs: number;
  /** A draining router exits after this time even if it has money left that only a reclaim can return. */
  readonly drainLimitMs: number;
  /** How long a request with an idempotency key keeps running after its last caller has disconnected. */
  readonly resumeWindowMs: number;
  readonly requestDeadlineMs: number;
  readonly orderIntervalMs: number;
  /** How long one router may send orders to a service's engines. */
  readonly orderLeaseMs: number;
  /** Maximum difference between the wall clocks of two routers. */
  readonly clockAllowanceMs: number;
  /** Model loads per minute that the weight store can serve, across the fleet. */
  readonly weightLoadsPerMinute: number;
  /** Retries allowed, as a fraction of requests. */
  readonly retryBudgetFraction: number;
  readonly ejectAfterFailures: number;
  readonly ejectMs: number;
  /** Added to the score of an engine in another region, in milliseconds of expected wait. */
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
  // Long enough for a reclaim that needs the copies held by this router.
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
