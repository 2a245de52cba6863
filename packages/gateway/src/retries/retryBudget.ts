export interface RetryBudgetOptions {
  /** Retries allowed per request, over all routers. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Retries allowed per window in addition to the ratio, over all routers. */
  readonly slack: number;
}

/** Buckets per window: the resolution at which old requests expire. */
const BUCKETS_PER_WINDOW = 20;
/** Fraction of the ratio that is used, since a request may be counted in an earlier window than its retry. */
const RATIO_SAFETY_FACTOR = 0.8;

interface Bucket {
  index: number;
  requests: number;
  repeats: number;
}

/**
 * Limits the retries that this router sends to one service, so that all routers together stay below
 * `ratio * requests + slack` in every window.
 */
export class RetryBudget {
  private readonly buckets: Bucket[] = [];

  constructor(private readonly options: RetryBudgetOptions) {}

  recordRequest(nowMs: number): void {
    this.bucketAt(nowMs).requests += 1;
  }

  /**
   * Reserves retries; returns false if the budget does not cover them and none of them must be sent.
   *
   * @param routerCount upper bound of the routers that share the slack
   */
  tryReserveRetry(nowMs: number, routerCount: number, count = 1): boolean {
    const bucket = this.bucketAt(nowMs);
    const requests = this.buckets.reduce((sum, { requests }) => sum + requests, 0);
    const repeats = this.buckets.reduce((sum, { repeats }) => sum + repeats, 0);
    const allowed =
      this.options.ratio * RATIO_SAFETY_FACTOR * requests +
      Math.floor(this.options.slack / Math.max(1, routerCount));
    if (repeats + count > allowed) {
      return false;
    }
    bucket.repeats += count;
    return true;
  }

  /** Gives a retry back that was reserved at a time and not sent. */
  releaseRetry(reservedAtMs: number): void {
    const index = this.bucketIndex(reservedAtMs);
    const bucket = this.buckets.find((candidate) => candidate.index === index);
    if (bucket !== undefined && bucket.repeats > 0) {
      bucket.repeats -= 1;
    }
  }

  private bucketIndex(atMs: number): number {
    return Math.floor(atMs / (this.options.windowMs / BUCKETS_PER_WINDOW));
  }

  private bucketAt(nowMs: number): Bucket {
    const index = this.bucketIndex(nowMs);
    while (this.buckets.length > 0 && (this.buckets[0]?.index ?? index) <= index - BUCKETS_PER_WINDOW) {
      this.buckets.shift();
    }
    const last = this.buckets.at(-1);
    if (last?.index === index) {
      return last;
    }
    const bucket = { index, requests: 0, repeats: 0 };
    this.buckets.push(bucket);
    return bucket;
  }
}
