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
import { dropDepartedCallers } from './callers.ts';
import { wakeQueuedRequests } from './classQueue.ts';
import { mayDispatch } from './dispatchGate.ts';
import type { RelayState } from './relay.ts';
import { relayChunk } from './relay.ts';
import { ChunkDecision } from './streamLog.ts';
import type { RunningRequest } from './types.ts';
import type { AttemptRecord } from './verdict.ts';
import { AttemptState } from './verdict.ts';

export enum AttemptEnd {
  Finished = 'finished',
  /** The connection or the stream broke, or chunks were missing. */
  Lost = 'lost',
  /** No byte was sent. */
  NotSent = 'notSent',
  /** The engine stated that it does not take the request. */
  Refused = 'refused',
  /** The engine holds a stream of this identity already. */
  AlreadyKnown = 'alreadyKnown',
  /** The engine does not hold the stream that was to be resumed. */
  StreamUnknown = 'streamUnknown',
  Abandoned = 'abandoned',
  DeadlineExceeded = 'deadlineExceeded',
  Paused = 'paused',
}

export interface EngineTarget {
  readonly address: string;
  readonly request: UpstreamRequest;
  readonly model: string;
  readonly reservation: Reservation | undefined;
  readonly relay: RelayState;
}

/** Bounded wait for the engine's counts after a cancel; without them the relayed chunks are billed. */
const CANCEL_WAIT_MS = 1_000;

const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
const STATUS_CONFLICT = 409;
const STATUS_TOO_MANY = 429;
const STATUS_UNAVAILABLE = 503;

/** Makes one attempt on an engine. The caller of this function has taken the engine's slot; it is given back here. */
export function* runEngineAttempt(
  context: CoreContext,
  run: RunningRequest,
  target: EngineTarget,
): Task<AttemptEnd> {
  const info = getOrCreateUpstreamInfo(context, target.address);
  try {
    if (target.reservation !== undefined) {
      const { money } = context.board.requests;
      yield* money.replicateReservation(context, target.reservation, target.address);
    }
    dropDepartedCallers(context, run);
    const obstacle = findObstacle(context, run, target);
    return obstacle ?? (yield* openAndRelay(context, run, target));
  } finally {
    info.ownInFlightCount -= 1;
    wakeQueuedRequests(context);
  }
}

/** A reason not to open the attempt at all. */
function findObstacle(
  context: CoreContext,
  run: RunningRequest,
  target: EngineTarget,
): AttemptEnd | undefined {
  if (!mayDispatch(context, target.reservation)) {
    return AttemptEnd.Paused;
  }
  if (run.callers.size === 0 && target.request.kind === UpstreamRequestKind.EngineStart) {
    return AttemptEnd.Abandoned;
  }
  return context.clock.monotonicMs >= run.deadlineMs ? AttemptEnd.DeadlineExceeded : undefined;
}

function* openAndRelay(context: CoreContext, run: RunningRequest, target: EngineTarget): Task<AttemptEnd> {
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
): Task<AttemptEnd> {
  let abandonAtMs = Infinity;
  for (;;) {
    yield* waitForAny([channel, run.departures], Math.min(run.deadlineMs, abandonAtMs));
    dropDepartedCallers(context, run);
    const windowMs = run.hasIdempotencyKey ? context.options.resumeWindowMs : 0;
    const leftAtMs = Math.min(abandonAtMs, context.clock.monotonicMs + windowMs);
    abandonAtMs = run.callers.size === 0 ? leftAtMs : Infinity;
    const event = channel.take();
    const end = event === undefined ? undefined : handleEvent(context, run, target, record, event);
    if (end !== undefined) {
      return end;
    }
    const { monotonicMs } = context.clock;
    if (monotonicMs >= abandonAtMs || monotonicMs >= run.deadlineMs) {
      yield* cancelWork(context, run, target, record, channel);
      return monotonicMs >= abandonAtMs ? AttemptEnd.Abandoned : AttemptEnd.DeadlineExceeded;
    }
  }
}

function handleEvent(
  context: CoreContext,
  run: RunningRequest,
  target: EngineTarget,
  record: AttemptRecord,
  event: AttemptEvent,
): AttemptEnd | undefined {
  const info = getOrCreateUpstreamInfo(context, target.address);
  switch (event.kind) {
    case EventKind.UpstreamStarted:
      return event.status === STATUS_OK ? undefined : endByStatus(context, target, record, event.status);
    case EventKind.UpstreamChunk:
      return handleChunk(context, run, target, record, event.chunk);
    case EventKind.UpstreamEnded:
      if (event.status !== STATUS_OK) {
        return endByStatus(context, target, record, event.status);
      }
      recordUpstreamFailure(context, info);
      return AttemptEnd.Lost;
    case EventKind.UpstreamFailed:
      recordUpstreamFailure(context, info);
      if (!event.mayHaveReachedUpstream) {
        record.state = AttemptState.NotSent;
        markLeaving(context, info);
        return AttemptEnd.NotSent;
      }
      return AttemptEnd.Lost;
  }
}

function handleChunk(
  context: CoreContext,
  run: RunningRequest,
  target: EngineTarget,
  record: AttemptRecord,
  chunk: Parameters<typeof relayChunk>[3],
): AttemptEnd | undefined {
  const decision = relayChunk(context, run, target.model, chunk, target.relay);
  if (decision === ChunkDecision.Gap) {
    stopReading(context, run, target, record);
    return AttemptEnd.Lost;
  }
  if (run.log.finish === undefined) {
    return undefined;
  }
  record.state = AttemptState.Ran;
  recordUpstreamSuccess(getOrCreateUpstreamInfo(context, target.address));
  return AttemptEnd.Finished;
}

function endByStatus(
  context: CoreContext,
  target: EngineTarget,
  record: AttemptRecord,
  status: number,
): AttemptEnd {
  const info = getOrCreateUpstreamInfo(context, target.address);
  switch (status) {
    case STATUS_NOT_FOUND:
      record.state = AttemptState.RefusedByUpstream;
      return AttemptEnd.StreamUnknown;
    case STATUS_CONFLICT:
      return AttemptEnd.AlreadyKnown;
    case STATUS_UNAVAILABLE:
      markLeaving(context, info);
      record.state = AttemptState.RefusedByUpstream;
      return AttemptEnd.Refused;
    case STATUS_TOO_MANY:
      record.state = AttemptState.RefusedByUpstream;
      return AttemptEnd.Refused;
    default:
      recordUpstreamFailure(context, info);
      return AttemptEnd.Lost;
  }
}

function stopReading(
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

/** Stops the engine's work and waits a bounded time for its counts, which arrive as a chunk with a finish. */
function* cancelWork(
  context: CoreContext,
  run: RunningRequest,
  target: EngineTarget,
  record: AttemptRecord,
  channel: Channel<AttemptEvent>,
): Task<void> {
  stopWork(context, run, target.address, record.attemptId);
  const untilMs = context.clock.monotonicMs + CANCEL_WAIT_MS;
  let finish: EngineFinish | undefined;
  while (finish === undefined) {
    const event = yield* receive(channel, untilMs);
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

/** Ends the work of an attempt whose answer nobody will read. */
export function stopWork(
  context: CoreContext,
  run: RunningRequest,
  address: string,
  attemptId: string,
): void {
  const requestId = run.scopedRequestId;
  context.emit({ kind: EffectKind.UpstreamCancel, attemptId, address, requestId, stopExecution: true });
}
