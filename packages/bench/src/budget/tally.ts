import type { Figures } from './types.ts';

/** Interval at which the amounts of money are sampled. */
export const SAMPLE_INTERVAL_MS = 5_000;

/** Counts the outcomes of requests and tracks the largest sampled amounts of one run. */
export class Tally {
  answeredCount = 0;
  refusedCount = 0;
  falseRefusalCount = 0;
  storeWrites = 0;
  storeReads = 0;
  linkBytes = 0;
  private overspendMicros = 0;
  private strandedMicros = 0;
  private strandedAtEndMicros = 0;

  /** A refusal is false if the all-knowing ledger would have admitted the request at this time. */
  recordRefusal(isFalse: boolean): void {
    this.refusedCount += 1;
    this.falseRefusalCount += isFalse ? 1 : 0;
  }

  sample(overspendMicros: number, strandedMicros: number): void {
    this.overspendMicros = Math.max(this.overspendMicros, overspendMicros);
    this.strandedMicros = Math.max(this.strandedMicros, strandedMicros);
    this.strandedAtEndMicros = strandedMicros;
  }

  figures(requestCount: number): Figures {
    return {
      overspendMicros: this.overspendMicros,
      falseRefusalRate: this.falseRefusalCount / requestCount,
      refusalRate: this.refusedCount / requestCount,
      failureRate: (requestCount - this.answeredCount - this.refusedCount) / requestCount,
      storeWritesPerRequest: this.storeWrites / requestCount,
      storeReadsPerRequest: this.storeReads / requestCount,
      strandedMicros: this.strandedMicros,
      strandedAtEndMicros: this.strandedAtEndMicros,
      linkBytesPerRequest: this.linkBytes / requestCount,
    };
  }
}
