import type { Blackboard } from './blackboard.ts';
import { Channel } from './scheduler/channel.ts';
import type { Task } from './scheduler/task.ts';
import { receive } from './scheduler/task.ts';
import type { Effect } from './types/effects.ts';
import type { ConfigurationParser } from './types/configuration.ts';
import type { ClockReading } from './types/events.ts';
import type { CoreOptions } from './types/options.ts';

/** Services available to controllers: shared state, step time, effects, tasks and identifiers. */
export interface CoreContext {
  readonly board: Blackboard;
  readonly options: CoreOptions;
  /** Time of the current step; constant while the step runs. */
  readonly clock: ClockReading;
  readonly parseConfiguration: ConfigurationParser;
  emit(effect: Effect): void;
  spawn(name: string, task: Task<void>): void;
  newId(): string;
  /** A number in [0, 1) from the injected source. */
  random(): number;
}

/** Registers a channel for the replies to a call and removes it when `body` ends. */
export function* withChannel<K, T, R>(
  registry: Map<K, Channel<T>>,
  key: K,
  channel: Channel<T>,
  body: Task<R>,
): Task<R> {
  registry.set(key, channel);
  try {
    return yield* body;
  } finally {
    registry.delete(key);
  }
}

/** Waits for the reply to a call. Returns undefined if the deadline passes first. */
export function* awaitReply<T>(
  registry: Map<string, Channel<T>>,
  callId: string,
  deadlineMs: number,
): Task<T | undefined> {
  const channel = new Channel<T>();
  return yield* withChannel(registry, callId, channel, receive(channel, deadlineMs));
}
