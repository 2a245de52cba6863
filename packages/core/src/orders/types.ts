/** The right to give orders to the engines of one service, as this router holds it. */
export interface OrderLease {
  readonly fencingNumber: number;
  /** Monotonic time after which no order may be sent; earlier than the row's expiry by the clock allowance. */
  validUntilMs: number;
  /** Monotonic time before which engines that ignore fencing numbers get no orders. */
  readonly quietUntilMs: number;
  /** Loads that may be ordered now; grows with time up to one minute's worth. */
  availableLoads: number;
  refilledAtMs: number;
}

export interface OrdersState {
  /** By service identifier. */
  readonly leases: Map<string, OrderLease>;
}
