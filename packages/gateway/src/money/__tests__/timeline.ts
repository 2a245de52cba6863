/** Clock readings in one event above which a task counts as looping without waiting; an event needs a few dozen. */
const MAX_READINGS_PER_EVENT = 20_000;

/** Simulated clock that runs scheduled events in order of their time. */
export class Timeline {
  nowMs = 0;
  private readonly events: { atMs: number; order: number; run: () => void }[] = [];
  private count = 0;
  private readings = 0;

  /** Counts a clock reading; throws if the current event loops, since simulated time does not advance within it. */
  recordReading(): void {
    this.readings += 1;
    if (this.readings > MAX_READINGS_PER_EVENT) {
      throw new Error(`a task loops without waiting at ${this.nowMs} ms`);
    }
  }

  schedule(delayMs: number, run: () => void): () => void {
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
      // Lets the promises that the event resolved run their callbacks before the check.
      await new Promise(setImmediate);
      check();
    }
    this.nowMs = untilMs;
  }
}
