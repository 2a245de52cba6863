export interface HeapEvent {
  readonly atMs: number;
  /** Tells events of the same time apart: the smaller one runs first. */
  readonly order: number;
  readonly run: () => void;
  cancelled: boolean;
}

function isBefore(a: HeapEvent, b: HeapEvent): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
}

/** Binary heap of the events of a simulated clock, so that a fleet with many timers can be simulated. */
export class EventHeap {
  private readonly heap: HeapEvent[] = [];
  private count = 0;

  /** The next event; undefined if there is none. */
  get first(): HeapEvent | undefined {
    return this.heap[0];
  }

  /** Adds an event and returns a function that cancels it. */
  add(atMs: number, run: () => void): () => void {
    this.count += 1;
    const event: HeapEvent = { atMs, order: this.count, run, cancelled: false };
    this.push(event);
    return () => {
      event.cancelled = true;
    };
  }

  removeFirst(): void {
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

  private push(event: HeapEvent): void {
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
}
