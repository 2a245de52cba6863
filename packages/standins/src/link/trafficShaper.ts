const MS_PER_SECOND = 1_000;

/** Models the latency and bandwidth of one direction of the link. */
export class TrafficShaper {
  readonly #delayMs: number;
  readonly #bytesPerSecond: number | undefined;
  #busyUntilMs = 0;

  constructor(delayMs: number, bytesPerSecond: number | undefined) {
    this.#delayMs = delayMs;
    this.#bytesPerSecond = bytesPerSecond;
  }

  /** Reserves bandwidth for data that is sent now and returns the time at which it arrives. */
  scheduleTransfer(sizeBytes: number, nowMs: number): number {
    const transferMs =
      this.#bytesPerSecond === undefined ? 0 : (sizeBytes * MS_PER_SECOND) / this.#bytesPerSecond;
    this.#busyUntilMs = Math.max(this.#busyUntilMs, nowMs) + transferMs;
    return this.#busyUntilMs + this.#delayMs;
  }
}
