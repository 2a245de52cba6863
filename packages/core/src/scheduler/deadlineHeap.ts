/** An entry of the heap; the heap keeps its place in it, so that an entry can be removed without a search. */
export interface DeadlineEntry {
  deadlineMs: number;
  /** Place in the heap; undefined while the entry is not in it. */
  heapIndex: number | undefined;
}

/**
 * A binary heap of deadlines. Every step asks for the earliest one, and every resumed task removes and adds one,
 * so neither may look at all tasks: a router has one or more of them for each open request.
 */
export class DeadlineHeap<T extends DeadlineEntry> {
  private readonly entries: T[] = [];

  get earliest(): T | undefined {
    return this.entries[0];
  }

  add(entry: T): void {
    this.entries.push(entry);
    this.moveUp(entry, this.entries.length - 1);
  }

  /** Removes an entry; one that is not in the heap is ignored. */
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
    this.moveDown(last, index);
    this.moveUp(last, last.heapIndex ?? index);
  }

  private moveUp(entry: T, start: number): void {
    let index = start;
    while (index > 0) {
      const parentIndex = (index - 1) >> 1;
      const parent = this.entries[parentIndex];
      if (parent === undefined || parent.deadlineMs <= entry.deadlineMs) {
        break;
      }
      this.place(parent, index);
      index = parentIndex;
    }
    this.place(entry, index);
  }

  private moveDown(entry: T, start: number): void {
    let index = start;
    for (;;) {
      const child = this.earlierChild(index);
      if (child?.heapIndex === undefined || child.deadlineMs >= entry.deadlineMs) {
        break;
      }
      const childIndex = child.heapIndex;
      this.place(child, index);
      index = childIndex;
    }
    this.place(entry, index);
  }

  private earlierChild(index: number): T | undefined {
    const left = this.entries[2 * index + 1];
    const right = this.entries[2 * index + 2];
    return left !== undefined && right !== undefined && right.deadlineMs < left.deadlineMs ? right : left;
  }

  private place(entry: T, index: number): void {
    this.entries[index] = entry;
    entry.heapIndex = index;
  }
}
