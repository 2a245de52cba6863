/** Binary heap of actions, ordered by time and then by insertion so that runs are reproducible. */
export class EventQueue {
  private readonly entries: QueueEntry[] = [];
  private insertedCount = 0;

  get size(): number {
    return this.entries.length;
  }

  add(atMs: number, action: () => void): void {
    this.entries.push({ atMs, order: this.insertedCount, action });
    this.insertedCount += 1;
    this.siftUp(this.entries.length - 1);
  }

  /** Time of the next action; Infinity if there is none. */
  get nextAtMs(): number {
    return this.entries[0]?.atMs ?? Infinity;
  }

  takeNext(): QueueEntry | undefined {
    const first = this.entries[0];
    const last = this.entries.pop();
    if (first === undefined || last === undefined || this.entries.length === 0) {
      return first;
    }
    this.entries[0] = last;
    this.siftDown();
    return first;
  }

  private siftUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.isBefore(index, parent)) {
        return;
      }
      this.swap(index, parent);
      index = parent;
    }
  }

  private siftDown(): void {
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      const right = left + 1;
      let smallest = index;
      smallest = this.isBefore(left, smallest) ? left : smallest;
      smallest = this.isBefore(right, smallest) ? right : smallest;
      if (smallest === index) {
        return;
      }
      this.swap(index, smallest);
      index = smallest;
    }
  }

  private isBefore(a: number, b: number): boolean {
    const first = this.entries[a];
    const second = this.entries[b];
    if (first === undefined || second === undefined) {
      return false;
    }
    return first.atMs === second.atMs ? first.order < second.order : first.atMs < second.atMs;
  }

  private swap(a: number, b: number): void {
    const first = this.entries[a];
    const second = this.entries[b];
    if (first !== undefined && second !== undefined) {
      this.entries[a] = second;
      this.entries[b] = first;
    }
  }
}

export interface QueueEntry {
  readonly atMs: number;
  readonly order: number;
  readonly action: () => void;
}
