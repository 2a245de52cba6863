const MS_PER_SECOND = 1_000;

/** One direction of the link: computes when bytes that are sent now arrive at the other end. */
export class LinkPacer {
  readonly #delayMs: number;
  readonly #bytesPerSecond: number | undefined;
  #busyUntilMs = 0;

  constructor(delayMs: number, bytesPerSecond: number | undefined) {
    this.#delayMs = delayMs;
    this.#bytesPerSecond = bytesPerSecond;
  }

  arrivalMs(sizeBytes: number, nowMs: number): number {
    const transferMs =
      this.#bytesPerSecond === undefined ? 0 : (sizeBytes * MS_PER_SECOND) / this.#bytesPerSecond;
    this.#busyUntilMs = Math.max(this.#busyUntilMs, nowMs) + transferMs;
    return this.#busyUntilMs + this.#delayMs;
  }
}
