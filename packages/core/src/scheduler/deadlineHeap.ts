/** An entry of the heap. It stores its own position, so that it can be removed without a search. */
export interface DeadlineEntry {
  deadlineMs: number;
  /** Position in the heap; undefined while the entry is not in the heap. */
  heapIndex: number | undefined;
}

/**
 * A binary min-heap of deadlines. Every step reads the earliest deadline, and every resumed task removes one
 * and adds one. These operations must not scan all tasks, because each open request has at least one task.
 */
export class DeadlineHeap<T extends DeadlineEntry> {
  private readonly entries: T[] = [];

  get earliest(): T | undefined {
    return this.entries[0];
  }

  add(entry: T): void {
    this.entries.push(entry);
    this.siftUp(entry, this.entries.length - 1);
  }

  /** Removes an entry. Does nothing if the entry is not in the heap. */
  remove(entry: T): void {
    const index = entry.heapIndex;
    if (index === undefined) {
      return;
    }
    entry.heapIndex = undefined;
    const last = this.entries.pop();
    if (last === undefined || last === entry) {
      return;
    }
    this.siftDown(last, index);
    this.siftUp(last, last.heapIndex ?? index);
  }

  private siftUp(entry: T, start: number): void {
    let index = start;
    while (index > 0) {
      const parentIndex = (index - 1) >> 1;
      const parent = this.entries[parentIndex];
      if (parent === undefined || parent.deadlineMs <= entry.deadlineMs) {
        break;
      }
      this.setAt(parent, index);
      index = parentIndex;
    }
    this.setAt(entry, index);
  }

  private siftDown(entry: T, start: number): void {
    let index = start;
    for (;;) {
      const child = this.earlierChild(index);
      if (child?.heapIndex === undefined || child.deadlineMs >= entry.deadlineMs) {
        break;
      }
      const childIndex = child.heapIndex;
      this.setAt(child, index);
      index = childIndex;
    }
    this.setAt(entry, index);
  }

  private earlierChild(index: number): T | undefined {
    const left = this.entries[2 * index + 1];
    const right = this.entries[2 * index + 2];
    return left !== undefined && right !== undefined && right.deadlineMs < left.deadlineMs ? right : left;
  }

  private setAt(entry: T, index: number): void {
    this.entries[index] = entry;
    entry.heapIndex = index;
  }
}
