import type { CoreContext } from '../context.ts';
import { Channel } from '../scheduler/channel.ts';
import type { Task } from '../scheduler/task.ts';
import { waitForAny } from '../scheduler/task.ts';
import { MetricKind } from '../types/effects.ts';
import { RefusalReason } from '../types/verdict.ts';
import { dropDepartedCallers } from './callers.ts';
import { emitMetric } from './requestMetrics.ts';
import type { RunningRequest } from './types.ts';

enum Signal {
  TryAgain = 'tryAgain',
  Shed = 'shed',
}

interface Waiter {
  readonly run: RunningRequest;
  /** Requests for the same resource keep their order; others may pass. */
  readonly resource: string;
  readonly signals: Channel<Signal>;
}

export interface QueueState {
  /** Highest priority first, then by arrival. */
  readonly waiters: Waiter[];
}

/** A resource can also become usable without a release (a probe, an ejection that ends), so waiters look again. */
const RECHECK_MS = 250;

export function createQueueState(): QueueState {
  return { waiters: [] };
}

/** Lets every waiter try again, in order of priority. */
export function wakeQueuedRequests(context: CoreContext): void {
  for (const waiter of context.board.requests.queue.waiters) {
    waiter.signals.push(Signal.TryAgain);
  }
}

/** The whole queue is as long as the longest bound of a model class; other classes do not wait here. */
function totalLimit(context: CoreContext): number {
  const { classes, rules } = context.board.configuration?.document ?? { classes: [], rules: [] };
  const modelClasses = classes.filter(({ classId }) => rules.some((rule) => rule.classId === classId));
  return Math.max(0, ...modelClasses.map((section) => section.maxQueued));
}

/** Takes the least urgent batch request out of the queue; false if only interactive ones wait. */
function shedBatch(queue: QueueState): boolean {
  const index = queue.waiters.findLastIndex((waiter) => waiter.run.classSection.batch);
  const [shed] = index < 0 ? [] : queue.waiters.splice(index, 1);
  shed?.signals.push(Signal.Shed);
  return shed !== undefined;
}

/** Whether the request may wait: within its class's bound, and within the whole queue or in place of a batch one. */
function mayQueue(context: CoreContext, run: RunningRequest): boolean {
  const { queue } = context.board.requests;
  const ownCount = queue.waiters.filter((waiter) => waiter.run.classId === run.classId).length;
  if (ownCount >= run.classSection.maxQueued) {
    return false;
  }
  if (queue.waiters.length < totalLimit(context)) {
    return true;
  }
  return !run.classSection.batch && shedBatch(queue);
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
 * Takes a resource with `tryTake`, waiting in the bounded queue while it gives undefined. A refusal of undefined
 * means that all callers left while the request waited.
 */
export function* takeInOrder<T>(
  context: CoreContext,
  run: RunningRequest,
  resource: string,
  tryTake: () => T | undefined,
): Task<QueueResult<T>> {
  const { queue } = context.board.requests;
  const direct = hasEarlierWaiter(queue, run, resource) ? undefined : tryTake();
  if (direct !== undefined) {
    emitMetric(context, run, MetricKind.QueueWait, 0);
    return { value: direct };
  }
  if (!mayQueue(context, run)) {
    return { refusal: RefusalReason.QueueFull };
  }
  const waiter: Waiter = { run, resource, signals: new Channel() };
  const queuedAtMs = context.clock.monotonicMs;
  insertWaiter(queue, waiter);
  try {
    const result = yield* waitForTurn(context, waiter, tryTake);
    emitMetric(context, run, MetricKind.QueueWait, context.clock.monotonicMs - queuedAtMs);
    return result;
  } finally {
    removeWaiter(queue, waiter);
  }
}

function* waitForTurn<T>(
  context: CoreContext,
  waiter: Waiter,
  tryTake: () => T | undefined,
): Task<QueueResult<T>> {
  const { run, signals } = waiter;
  for (;;) {
    const recheckAtMs = Math.min(run.deadlineMs, context.clock.monotonicMs + RECHECK_MS);
    yield* waitForAny([signals, run.departures], recheckAtMs);
    dropDepartedCallers(context, run);
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
    const value = tryTake();
    if (value !== undefined) {
      return { value };
    }
  }
}
