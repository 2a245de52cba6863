interface ScheduledEvent {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
  cancelled: boolean;
}

/** Simulated clock with a binary heap of events, for simulations with more events than `Timeline` can sort. */
export class EventQueue {
  nowMs = 0;
  private readonly heap: ScheduledEvent[] = [];
  private count = 0;

  schedule(delayMs: number, run: () => void): () => void {
    this.count += 1;
    const event = { atMs: this.nowMs + Math.max(0, delayMs), order: this.count, run, cancelled: false };
    this.push(event);
    return () => {
      event.cancelled = true;
    };
  }

  /** Runs the events up to a time; promises that an event resolves run their callbacks before the next event. */
  async advanceTo(untilMs: number): Promise<void> {
    for (let next = this.heap[0]; next !== undefined && next.atMs <= untilMs; next = this.heap[0]) {
      this.pop();
      if (next.cancelled) {
        continue;
      }
      this.nowMs = next.atMs;
      next.run();
      // Three turns of the microtask queue are enough for the chains of promises in the simulations.
      for (let turn = 0; turn < 3; turn += 1) {
        await Promise.resolve();
      }
    }
    this.nowMs = untilMs;
  }

  private push(event: ScheduledEvent): void {
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
      heap[parentIndex] = event;
      index = parentIndex;
    }
  }

  private pop(): void {
    const { heap } = this;
    const last = heap.pop();
    if (last === undefined || heap.length === 0) {
      return;
    }
    let index = 0;
    heap[0] = last;
    for (;;) {
      const left = heap[2 * index + 1];
      const right = heap[2 * index + 2];
      const isRight = left !== undefined && right !== undefined && isBefore(right, left);
      const child = isRight ? right : left;
      if (child === undefined || !isBefore(child, last)) {
        return;
      }
      const childIndex = 2 * index + (isRight ? 2 : 1);
      heap[index] = child;
      heap[childIndex] = last;
      index = childIndex;
    }
  }
}

function isBefore(a: ScheduledEvent, b: ScheduledEvent): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
}
