/** Clock readings in one event above which a task counts as looping without waiting; an event needs a few dozen. */
const MAX_READINGS_PER_EVENT = 20_000;

interface TimelineEvent {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
  cancelled: boolean;
}

function isBefore(a: TimelineEvent, b: TimelineEvent): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
}

/** Simulated clock that runs scheduled events in order of their time. */
export class Timeline {
  nowMs = 0;
  /** Binary heap, so that a fleet with many timers can be simulated. */
  private readonly heap: TimelineEvent[] = [];
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
    const event = { atMs: this.nowMs + delayMs, order: (this.count += 1), run, cancelled: false };
    this.push(event);
    return () => {
      event.cancelled = true;
    };
  }

  async advance(durationMs: number, check: () => void): Promise<void> {
    const untilMs = this.nowMs + durationMs;
    for (;;) {
      const next = this.heap[0];
      if (next === undefined || next.atMs > untilMs) {
        break;
      }
      this.removeFirst();
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

  private push(event: TimelineEvent): void {
    const { heap } = this;
    let index = heap.length;
    heap.push(event);
    while (index > 0) {
      const parentIndex = (index - 1) >> 1;
      const parent = heap[parentIndex];
      if (parent === undefined || !isBefore(event, parent)) {
        break;
      }
      heap[index] = parent;
      index = parentIndex;
    }
    heap[index] = event;
  }

  private removeFirst(): void {
    const { heap } = this;
    const last = heap.pop();
    if (last === undefined || heap.length === 0) {
      return;
    }
    let index = 0;
    for (;;) {
      const left = heap[2 * index + 1];
      const right = heap[2 * index + 2];
      const isRightFirst = left !== undefined && right !== undefined && isBefore(right, left);
      const child = isRightFirst ? right : left;
      if (child === undefined || !isBefore(child, last)) {
        break;
      }
      heap[index] = child;
      index = 2 * index + (isRightFirst ? 2 : 1);
    }
    heap[index] = last;
  }
}
