/** Load that the other routers have put on one engine, as far as their sums have arrived. */
export class RemoteLoad {
  private tokens = 0;
  private requests = 0;
  /** Monotonic time until which the sums count. */
  private untilMs = -Infinity;
  private setAtMs = -Infinity;
  private lastProgressAtMs = -Infinity;

  /**
   * @param drainTokensPerMs rate at which the pending prompts decrease until the next sums arrive
   */
  constructor(private readonly drainTokensPerMs: number) {}

  /** Monotonic time at which sums last showed that the engine had answered a prompt; -Infinity if none has. */
  get progressAtMs(): number {
    return this.lastProgressAtMs;
  }

  /** Records sums that count until a time. */
  set(pendingPrefillTokens: number, inFlight: number, nowMs: number, untilMs: number): void {
    // A first event ends the prefill of a request that stays in flight; an abandoned request ends both.
    if (nowMs < this.untilMs && pendingPrefillTokens < this.tokens && inFlight >= this.requests) {
      this.lastProgressAtMs = nowMs;
    }
    this.tokens = pendingPrefillTokens;
    this.requests = inFlight;
    this.setAtMs = nowMs;
    this.untilMs = untilMs;
  }

  /** Uncached prompt tokens of their requests that have not received their first event; 0 if not known. */
  pendingPrefillTokens(nowMs: number): number {
    return nowMs < this.untilMs
      ? Math.max(0, this.tokens - (nowMs - this.setAtMs) * this.drainTokensPerMs)
      : 0;
  }

  /** Number of their requests in flight; 0 if not known. */
  inFlight(nowMs: number): number {
    return nowMs < this.untilMs ? this.requests : 0;
  }
}
