/** Time constant of the exponential decay; short enough to follow a burst within seconds. */
export const DEMAND_TIME_CONSTANT_MS = 5_000;

/** Exponentially decaying average of the token rate. */
export class DemandRate {
  private weightedTokens = 0;
  private updatedMs: number;
  private readonly startedMs: number;

  constructor(nowMs: number) {
    this.updatedMs = nowMs;
    this.startedMs = nowMs;
  }

  record(tokens: number, nowMs: number): void {
    this.decay(nowMs);
    this.weightedTokens += tokens;
  }

  /** Tokens per second, corrected for the short history of a new counter. */
  perSecond(nowMs: number): number {
    this.decay(nowMs);
    const ageMs = Math.max(nowMs - this.startedMs, 1_000);
    const historyMs = DEMAND_TIME_CONSTANT_MS * (1 - Math.exp(-ageMs / DEMAND_TIME_CONSTANT_MS));
    return (this.weightedTokens / historyMs) * 1_000;
  }

  private decay(nowMs: number): void {
    this.weightedTokens *= Math.exp(-(nowMs - this.updatedMs) / DEMAND_TIME_CONSTANT_MS);
    this.updatedMs = nowMs;
  }
}
