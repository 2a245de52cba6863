import type { Channel } from './channel.ts';

/**
 * The wait condition that a task yields. The task resumes when a channel has an item or the deadline has
 * passed. The type omits the item operations, so that a task can wait on channels of different item types.
 */
export interface Wait {
  readonly channels: readonly Pick<Channel<unknown>, 'size' | 'attachWaiter' | 'detachWaiter'>[];
  /** Monotonic time in milliseconds; Infinity waits without a time limit. */
  readonly deadlineMs: number;
}

/** A coroutine, such as a controller. It yields only to wait; `yield*` composes tasks. */
export type Task<T> = Generator<Wait, T, undefined>;

/** Waits for an item. Returns undefined if the deadline passes first. */
export function* receive<T>(channel: Channel<T>, deadlineMs: number): Task<T | undefined> {
  if (channel.size === 0) {
    yield { channels: [channel], deadlineMs };
  }
  return channel.take();
}

/** Waits until a channel has an item or the deadline passes. Takes no items; the caller does. */
export function* waitForAny(channels: Wait['channels'], deadlineMs: number): Task<void> {
  if (channels.every((channel) => channel.size === 0)) {
    yield { channels, deadlineMs };
  }
}

/** Waits until the given monotonic time. */
export function* sleepUntil(deadlineMs: number): Task<void> {
  yield { channels: [], deadlineMs };
}
