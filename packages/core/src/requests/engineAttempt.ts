import type { CoreContext } from '../context.ts';
import { withChannel } from '../context.ts';
import type { Reservation } from '../money/types.ts';
import {
  markLeaving,
  recordUpstreamFailure,
  recordUpstreamSuccess,
  getOrCreateUpstreamInfo,
} from '../routing/upstreams.ts';
import { Channel } from '../scheduler/channel.ts';
import type { Task } from '../scheduler/task.ts';
import { receive, waitForAny } from '../scheduler/task.ts';
import { EffectKind } from '../types/effects.ts';
import type { AttemptEvent } from '../types/events.ts';
import { EventKind } from '../types/events.ts';
import type { EngineFinish, UpstreamRequest } from '../types/requests.ts';
import { UpstreamRequestKind } from '../types/requests.ts';
import { removeDisconnectedCallers } from './callers.ts';
import { wakeQueuedRequests } from './classQueue.ts';
import { mayDispatch } from './dispatchGate.ts';
import type { RelayState } from './relay.ts';
import { relayChunk } from './relay.ts';
import { ChunkDecision } from './streamLog.ts';
import type { RunningRequest } from './types.ts';
import type { AttemptRecord } from './verdict.ts';
import { AttemptState } from './verdict.ts';

/** How an attempt on an engine ended. */
export enum EngineAttemptEnd {
  Finished = 'finished',
  /** The connection or the stream failed, or chunks were missing. */
  Lost = 'lost',
  /** No byte was sent. */
  NotSent = 'notSent',
  /** The engine rejected the request. */
  Refused = 'refused',
  /** The engine already holds a stream for this request. */
  AlreadyKnown = 'alreadyKnown',
  /** The engine does not hold the stream to resume. */
  StreamUnknown = 'streamUnknown',
  /** All callers disconnected. */
  Abandoned = 'abandoned',
  DeadlineExceeded = 'deadlineExceeded',
  /** Dispatch is not allowed because the router was paused. */
  Paused = 'paused',
}

export interface EngineTarget {
  readonly address: string;
  readonly request: UpstreamRequest;
  readonly model: string;
  readonly reservation: Reservation | undefined;
  readonly relay: RelayState;
}

/** Maximum wait for the engine's token counts after a cancellation. Without them the relayed chunks are billed. */
const CANCEL_USAGE_WAIT_MS = 1_000;

const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
const STATUS_CONFLICT = 409;
const STATUS_TOO_MANY_REQUESTS = 429;
const STATUS_UNAVAILABLE = 503;

/** Makes one attempt on an engine. The calling function must have acquired a slot, which is released here. */
export function* runEngineAttempt(
  context: CoreContext,
  run: RunningRequest,
  target: EngineTarget,
): Task<EngineAttemptEnd> {
  const info = getOrCreateUpstreamInfo(context, target.address);
  try {
    if (target.reservation !== undefined) {
      const { money } = context.board.requests;
      yield* money.replicateReservation(context, target.reservation, target.address);
    }
    removeDisconnectedCallers(context, run);
    const earlyEnd = endBeforeDispatch(context, run, target);
    return earlyEnd ?? (yield* openAndRelay(context, run, target));
  } finally {
    info.ownInFlightCount -= 1;
    wakeQueuedRequests(context);
  }
}

/** Returns how the attempt ends if it must not be dispatched, otherwise undefined. */
function endBeforeDispatch(
  context: CoreContext,
  run: RunningRequest,
  target: EngineTarget,
): EngineAttemptEnd | undefined {
  if (!mayDispatch(context, target.reservation)) {
    return EngineAttemptEnd.Paused;
  }
  if (run.callers.size === 0 && target.request.kind === UpstreamRequestKind.EngineStart) {
    return EngineAttemptEnd.Abandoned;
  }
  return context.clock.monotonicMs >= run.deadlineMs ? EngineAttemptEnd.DeadlineExceeded : undefined;
}

function* openAndRelay(
  context: CoreContext,
  run: RunningRequest,
  target: EngineTarget,
): Task<EngineAttemptEnd> {
  const record: AttemptRecord = { attemptId: context.newId(), foreign: false, state: AttemptState.Sent };
  const channel = new Channel<AttemptEvent>();
  run.attempts.push(record);
  context.emit({
    kind: EffectKind.UpstreamOpen,
    attemptId: record.attemptId,
    address: target.address,
    request: target.request,
    exchangeId: run.callers.keys().next().value,
    deadlineMs: run.deadlineMs,
  });
  const { attempts } = context.board.replyChannels;
  return yield* withChannel(
    attempts,
    record.attemptId,
    channel,
    relayAttempt(context, run, target, record, channel),
  );
}

function* relayAttempt(
  context: CoreContext,
  run: RunningRequest,
  target: EngineTarget,
  record: AttemptRecord,
  channel: Channel<AttemptEvent>,
): Task<EngineAttemptEnd> {
  let abandonAtMs = Infinity;
  for (;;) {
    yield* waitForAny([channel, run.disconnects], Math.min(run.deadlineMs, abandonAtMs));
    removeDisconnectedCallers(context, run);
    const windowMs = run.hasIdempotencyKey ? context.options.resumeWindowMs : 0;
    const resumeEndsAtMs = Math.min(abandonAtMs, context.clock.monotonicMs + windowMs);
    abandonAtMs = run.callers.size === 0 ? resumeEndsAtMs : Infinity;
    const event = channel.take();
    const end = event === undefined ? undefined : handleEvent(context, run, target, record, event);
    if (end !== undefined) {
      return end;
    }
    const { monotonicMs } = context.clock;
    if (monotonicMs >= abandonAtMs || monotonicMs >= run.deadlineMs) {
      yield* cancelAndAwaitUsage(context, run, target, record, channel);
      return monotonicMs >= abandonAtMs ? EngineAttemptEnd.Abandoned : EngineAttemptEnd.DeadlineExceeded;
    }
  }
}

function handleEvent(
  context: CoreContext,
  run: RunningRequest,
  target: EngineTarget,
  record: AttemptRecord,
  event: AttemptEvent,
): EngineAttemptEnd | undefined {
  const info = getOrCreateUpstreamInfo(context, target.address);
  switch (event.kind) {
    case EventKind.UpstreamStarted:
      return event.status === STATUS_OK ? undefined : endForStatus(context, target, record, event.status);
    case EventKind.UpstreamChunk:
      return handleChunk(context, run, target, record, event.chunk);
    case EventKind.UpstreamEnded:
      if (event.status !== STATUS_OK) {
        return endForStatus(context, target, record, event.status);
      }
      recordUpstreamFailure(context, info);
      return EngineAttemptEnd.Lost;
    case EventKind.UpstreamFailed:
      recordUpstreamFailure(context, info);
      if (!event.mayHaveReachedUpstream) {
        record.state = AttemptState.NotSent;
        markLeaving(context, info);
        return EngineAttemptEnd.NotSent;
      }
      return EngineAttemptEnd.Lost;
  }
}

function handleChunk(
  context: CoreContext,
  run: RunningRequest,
  target: EngineTarget,
  record: AttemptRecord,
  chunk: Parameters<typeof relayChunk>[3],
): EngineAttemptEnd | undefined {
  const decision = relayChunk(context, run, target.model, chunk, target.relay);
  if (decision === ChunkDecision.Gap) {
    cancelStream(context, run, target, record);
    return EngineAttemptEnd.Lost;
  }
  if (run.log.finish === undefined) {
    return undefined;
  }
  record.state = AttemptState.Ran;
  recordUpstreamSuccess(getOrCreateUpstreamInfo(context, target.address));
  return EngineAttemptEnd.Finished;
}

function endForStatus(
  context: CoreContext,
  target: EngineTarget,
  record: AttemptRecord,
  status: number,
): EngineAttemptEnd {
  const info = getOrCreateUpstreamInfo(context, target.address);
  switch (status) {
    case STATUS_NOT_FOUND:
      record.state = AttemptState.RefusedByUpstream;
      return EngineAttemptEnd.StreamUnknown;
    case STATUS_CONFLICT:
      return EngineAttemptEnd.AlreadyKnown;
    case STATUS_UNAVAILABLE:
      markLeaving(context, info);
      record.state = AttemptState.RefusedByUpstream;
      return EngineAttemptEnd.Refused;
    case STATUS_TOO_MANY_REQUESTS:
      record.state = AttemptState.RefusedByUpstream;
      return EngineAttemptEnd.Refused;
    default:
      recordUpstreamFailure(context, info);
      return EngineAttemptEnd.Lost;
  }
}

function cancelStream(
  context: CoreContext,
  run: RunningRequest,
  target: EngineTarget,
  record: AttemptRecord,
): void {
  const { attemptId } = record;
  const { address } = target;
  context.emit({
    kind: EffectKind.UpstreamCancel,
    attemptId,
    address,
    requestId: run.scopedRequestId,
    stopExecution: false,
  });
}

/** Stops the execution and waits briefly for the token counts, which arrive as a chunk with `finish` set. */
function* cancelAndAwaitUsage(
  context: CoreContext,
  run: RunningRequest,
  target: EngineTarget,
  record: AttemptRecord,
  channel: Channel<AttemptEvent>,
): Task<void> {
  cancelExecution(context, run, target.address, record.attemptId);
  const waitUntilMs = context.clock.monotonicMs + CANCEL_USAGE_WAIT_MS;
  let finish: EngineFinish | undefined;
  while (finish === undefined) {
    const event = yield* receive(channel, waitUntilMs);
    if (
      event === undefined ||
      event.kind === EventKind.UpstreamEnded ||
      event.kind === EventKind.UpstreamFailed
    ) {
      return;
    }
    finish = event.kind === EventKind.UpstreamChunk ? event.chunk.finish : undefined;
  }
  run.log.finish = finish;
}

/** Stops the execution of an attempt whose answer is no longer needed. */
export function cancelExecution(
  context: CoreContext,
  run: RunningRequest,
  address: string,
  attemptId: string,
): void {
  const requestId = run.scopedRequestId;
  context.emit({ kind: EffectKind.UpstreamCancel, attemptId, address, requestId, stopExecution: true });
}
