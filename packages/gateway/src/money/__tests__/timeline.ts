import { EventHeap } from '../../__tests__/eventHeap.ts';

/** Clock readings in one event above which a task counts as looping without waiting; an event needs a few dozen. */
const MAX_READINGS_PER_EVENT = 20_000;

/** Simulated clock that runs scheduled events in order of their time. */
export class Timeline {
  nowMs = 0;
  private readonly events = new EventHeap();
  private readings = 0;

  /** Counts a clock reading; throws if the current event loops, since simulated time does not advance within it. */
  recordReading(): void {
    this.readings += 1;
    if (this.readings > MAX_READINGS_PER_EVENT) {
      throw new Error(`a task loops without waiting at ${this.nowMs} ms`);
    }
  }

  schedule(delayMs: number, run: () => void): () => void {
    return this.events.add(this.nowMs + delayMs, run);
  }

  async advance(durationMs: number, check: () => void): Promise<void> {
    const { events } = this;
    const untilMs = this.nowMs + durationMs;
    for (let next = events.first; next !== undefined && next.atMs <= untilMs; next = events.first) {
      events.removeFirst();
      if (next.cancelled) {
        continue;
      }
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
