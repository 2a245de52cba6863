/**
 * A FIFO queue with at most one waiting task. Channels carry typed events from the step loop to the task that
 * requested them. An event that arrives before the task waits for it stays queued.
 */
export class Channel<T> {
  private readonly items: T[] = [];
  private onPush: (() => void) | undefined;

  push(item: T): void {
    this.items.push(item);
    this.onPush?.();
  }

  /** Removes and returns the oldest item, or undefined if the channel is empty. */
  take(): T | undefined {
    return this.items.shift();
  }

  get size(): number {
    return this.items.length;
  }

  /** Registers the scheduler's wake-up callback. Throws if another task already waits on this channel. */
  attachWaiter(onPush: () => void): void {
    if (this.onPush !== undefined) {
      throw new Error('A channel supports one waiting task; give each task its own channel.');
    }
    this.onPush = onPush;
  }

  detachWaiter(): void {
    this.onPush = undefined;
  }
}
