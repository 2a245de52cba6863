/** A lease that entitles this router to send orders to the engines of one service. */
export interface OrderLease {
  readonly fencingNumber: number;
  /** Monotonic time after which no order may be sent; earlier than the row's expiry by the clock allowance. */
  validUntilMs: number;
  /** Monotonic time from which engines that ignore fencing numbers may get orders. */
  readonly unfencedOrdersFromMs: number;
  /** Loads that may be ordered now; refilled over time up to the loads of one minute. */
  availableLoads: number;
  refilledAtMs: number;
}

export interface OrdersState {
  /** Leases that this router holds, by service identifier. */
  readonly leases: Map<string, OrderLease>;
}
