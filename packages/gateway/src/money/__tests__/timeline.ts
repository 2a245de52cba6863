/** Clock readings in one event beyond which a task is taken to go round without waiting: a turn takes some dozens. */
const MAX_READINGS_PER_EVENT = 20_000;

/** Events in the order of their time; no real time passes. */
export class Timeline {
  nowMs = 0;
  private readonly events: { atMs: number; order: number; run: () => void }[] = [];
  private count = 0;
  private readings = 0;

  /** Throws if the event that runs now does not end: no time passes in it. */
  recordReading(): void {
    this.readings += 1;
    if (this.readings > MAX_READINGS_PER_EVENT) {
      throw new Error(`a task does not hand back the processor at ${this.nowMs} ms`);
    }
  }

  at(delayMs: number, run: () => void): () => void {
    const event = { atMs: this.nowMs + delayMs, order: (this.count += 1), run };
    this.events.push(event);
    return () => {
      const index = this.events.indexOf(event);
      if (index >= 0) {
        this.events.splice(index, 1);
      }
    };
  }

  async advance(durationMs: number, check: () => void): Promise<void> {
    const untilMs = this.nowMs + durationMs;
    for (;;) {
      const next = this.events
        .filter(({ atMs }) => atMs <= untilMs)
        .sort((a, b) => a.atMs - b.atMs || a.order - b.order)[0];
      if (next === undefined) {
        break;
      }
      this.events.splice(this.events.indexOf(next), 1);
      this.nowMs = Math.max(this.nowMs, next.atMs);
      this.readings = 0;
      next.run();
      // Promises of the store resolve in microtasks.
      await new Promise(setImmediate);
      check();
    }
    this.nowMs = untilMs;
  }
}
