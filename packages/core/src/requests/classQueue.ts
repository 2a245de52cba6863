import type { CoreContext } from '../context.ts';
import { Channel } from '../scheduler/channel.ts';
import type { Task } from '../scheduler/task.ts';
import { waitForAny } from '../scheduler/task.ts';
import { MetricKind } from '../types/effects.ts';
import { RefusalReason } from '../types/verdict.ts';
import { removeDisconnectedCallers } from './callers.ts';
import { emitMetric } from './requestMetrics.ts';
import type { RunningRequest } from './types.ts';

enum Signal {
  TryAgain = 'tryAgain',
  Shed = 'shed',
}

interface Waiter {
  readonly run: RunningRequest;
  /** Order is kept only among requests for the same resource. */
  readonly resource: string;
  readonly signals: Channel<Signal>;
}

export interface QueueState {
  /** Ordered by descending priority, then by arrival. */
  readonly waiters: Waiter[];
}

/** A resource can also become available without a release, such as after a probe or when an ejection ends. */
const RECHECK_INTERVAL_MS = 250;

export function createQueueState(): QueueState {
  return { waiters: [] };
}

/** Signals every waiter to try again, in priority order. */
export function wakeQueuedRequests(context: CoreContext): void {
  for (const waiter of context.board.requests.queue.waiters) {
    waiter.signals.push(Signal.TryAgain);
  }
}

/** The total queue limit is the largest limit of any model class. Other classes do not use this queue. */
function totalQueueLimit(context: CoreContext): number {
  const { classes, rules } = context.board.configuration?.document ?? { classes: [], rules: [] };
  const modelClasses = classes.filter(({ classId }) => rules.some((rule) => rule.classId === classId));
  return Math.max(0, ...modelClasses.map((section) => section.maxQueued));
}

/** Sheds the batch request with the lowest priority. Returns false if only interactive requests are queued. */
function shedBatchRequest(queue: QueueState): boolean {
  const index = queue.waiters.findLastIndex((waiter) => waiter.run.classSection.batch);
  const [shed] = index < 0 ? [] : queue.waiters.splice(index, 1);
  shed?.signals.push(Signal.Shed);
  return shed !== undefined;
}

/**
 * Whether the request may be queued: its class must be below its limit, and the queue below the total limit. In a
 * full queue, an interactive request displaces a batch request.
 */
function canQueue(context: CoreContext, run: RunningRequest): boolean {
  const { queue } = context.board.requests;
  const classWaiterCount = queue.waiters.filter((waiter) => waiter.run.classId === run.classId).length;
  if (classWaiterCount >= run.classSection.maxQueued) {
    return false;
  }
  if (queue.waiters.length < totalQueueLimit(context)) {
    return true;
  }
  return !run.classSection.batch && shedBatchRequest(queue);
}

function insertWaiter(queue: QueueState, waiter: Waiter): void {
  const { priority } = waiter.run.classSection;
  const index = queue.waiters.findIndex((other) => other.run.classSection.priority < priority);
  queue.waiters.splice(index < 0 ? queue.waiters.length : index, 0, waiter);
}

function removeWaiter(queue: QueueState, waiter: Waiter): void {
  const index = queue.waiters.indexOf(waiter);
  if (index >= 0) {
    queue.waiters.splice(index, 1);
  }
}

export type QueueResult<T> = { readonly value: T } | { readonly refusal: RefusalReason | undefined };

function hasEarlierWaiter(queue: QueueState, run: RunningRequest, resource: string): boolean {
  const { priority } = run.classSection;
  return queue.waiters.some(
    (waiter) => waiter.resource === resource && waiter.run.classSection.priority >= priority,
  );
}

/**
 * Acquires a resource with `tryAcquire`, and waits in the bounded queue while that returns undefined. A refusal of
 * undefined means that all callers disconnected while the request was queued.
 */
export function* acquireInOrder<T>(
  context: CoreContext,
  run: RunningRequest,
  resource: string,
  tryAcquire: () => T | undefined,
): Task<QueueResult<T>> {
  const { queue } = context.board.requests;
  const immediate = hasEarlierWaiter(queue, run, resource) ? undefined : tryAcquire();
  if (immediate !== undefined) {
    emitMetric(context, run, MetricKind.QueueWait, 0);
    return { value: immediate };
  }
  if (!canQueue(context, run)) {
    return { refusal: RefusalReason.QueueFull };
  }
  const waiter: Waiter = { run, resource, signals: new Channel() };
  const queuedAtMs = context.clock.monotonicMs;
  insertWaiter(queue, waiter);
  try {
    const result = yield* waitForTurn(context, waiter, tryAcquire);
    emitMetric(context, run, MetricKind.QueueWait, context.clock.monotonicMs - queuedAtMs);
    return result;
  } finally {
    removeWaiter(queue, waiter);
  }
}

function* waitForTurn<T>(
  context: CoreContext,
  waiter: Waiter,
  tryAcquire: () => T | undefined,
): Task<QueueResult<T>> {
  const { run, signals } = waiter;
  for (;;) {
    const recheckAtMs = Math.min(run.deadlineMs, context.clock.monotonicMs + RECHECK_INTERVAL_MS);
    yield* waitForAny([signals, run.disconnects], recheckAtMs);
    removeDisconnectedCallers(context, run);
    if (run.callers.size === 0) {
      return { refusal: undefined };
    }
    for (let signal = signals.take(); signal !== undefined; signal = signals.take()) {
      if (signal === Signal.Shed) {
        return { refusal: RefusalReason.QueueFull };
      }
    }
    if (context.clock.monotonicMs >= run.deadlineMs) {
      return { refusal: RefusalReason.DeadlineExceeded };
    }
    const value = tryAcquire();
    if (value !== undefined) {
      return { value };
    }
  }
}
