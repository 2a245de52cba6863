import type { Channel } from './channel.ts';

/**
 * What a task yields: it resumes when one of the channels has an item or when the deadline has passed. Channels
 * are listed by their waiting side only, so that channels of different item types can be waited on together.
 */
export interface Wait {
  readonly channels: readonly Pick<Channel<unknown>, 'size' | 'attachWaiter' | 'detachWaiter'>[];
  /** Monotonic time in milliseconds; Infinity waits for the channels alone. */
  readonly deadlineMs: number;
}

/** A controller or a part of one. It yields only to wait; `yield*` composes tasks. */
export type Task<T> = Generator<Wait, T, undefined>;

/** Waits until an item arrives or the deadline passes; undefined means that the deadline passed. */
export function* receive<T>(channel: Channel<T>, deadlineMs: number): Task<T | undefined> {
  if (channel.size === 0) {
    yield { channels: [channel], deadlineMs };
  }
  return channel.take();
}

/** Waits until at least one of the channels has an item or the deadline passes. The caller takes the items. */
export function* waitForAny(channels: Wait['channels'], deadlineMs: number): Task<void> {
  if (channels.every((channel) => channel.size === 0)) {
    yield { channels, deadlineMs };
  }
}

/** Waits until the given monotonic time. */
export function* sleepUntil(deadlineMs: number): Task<void> {
  yield { channels: [], deadlineMs };
}
