import type { AttemptRecord, Task } from '@pimentostall/core';
import { AttemptState, receive } from '@pimentostall/core';
import type { GatewayContext } from '../context.ts';
import { recordLoadChange } from '../engineLoad/engineLoadState.ts';
import { recordAttemptEnd } from '../evacuation/recordEvacuations.ts';
import { LogLevel } from '../observability/log.ts';
import type { Placement } from '../placement/chooseUpstream.ts';
import { beginColdAttempt, recordResponse } from '../placement/coldUpstreams.ts';
import { recordLeaving } from '../placement/recordLeaving.ts';
import { recordRetryAfter } from '../placement/recordRetryAfter.ts';
import { RouteKind } from '../types.ts';
import type { AttemptOutcome, AttemptProgress, AttemptResult } from './attemptProgress.ts';
import { AttemptEnd, endPrefill, recordProgress } from './attemptProgress.ts';
import { checkTimeouts, MAX_HELD_RESPONSE_BYTES, nextTimeoutAtMs } from './attemptTimeouts.ts';
import { adjustWatch, confirmEnd, endWatch, prepareWatch } from './attemptWatch.ts';
import { ByteCollector } from './byteCollector.ts';
import { enginePriority } from './enginePriority.ts';
import { EventSplitter, isBlank } from './eventSplitter.ts';
import { HeldResponse } from './heldResponse.ts';
import type { RequestEvent, UpstreamResponseHead } from './ports.ts';
import { RequestEventKind, UpstreamFailure } from './ports.ts';
import type { ServedRequest } from './servedRequest.ts';
import { isRetryable } from './servedRequest.ts';
import { recordAnswerStart, registerUnanswered } from './suspectRequests.ts';
import { recordIfUnresponsive } from './unresponsiveUpstream.ts';
import { recordSwitch } from './wayBack.ts';

/** Status of a response on a streaming route whose body is an event stream. */
const EVENT_STREAM_STATUS = 200;
const FIRST_SERVER_ERROR_STATUS = 500;
/** Maximum length that a response may announce; more cannot be relayed before any usual deadline. */
const MAX_BODY_BYTES = 67_108_864;

/**
 * Sends the request to one upstream and relays the response.
 *
 * @param mayRetry false for the last attempt that the route allows, which waits until the deadline
 */
export function* runAttempt(
  context: GatewayContext,
  request: ServedRequest,
  placement: Placement,
  mayRetry: boolean,
): Task<AttemptOutcome> {
  const progress = openAttempt(context, request, placement);
  const view = placement.upstream;
  const unanswered = registerUnanswered(context, request);
  view.inFlight += 1;
  view.pendingPrefillTokens += placement.uncachedTokens;
  reportLoad(context, request, placement, placement.uncachedTokens);
  try {
    for (;;) {
      const event = yield* receive(
        request.exchange.events,
        nextTimeoutAtMs(context, request, progress, mayRetry),
      );
      const result =
        event === undefined
          ? checkTimeouts(context, request, progress, mayRetry)
          : handleEvent(
              context,
              request,
              progress,
              yield* confirmEnd(context, request, progress, event),
              mayRetry,
            );
      if (progress.firstEventAtMs !== undefined) {
        unanswered.remove();
      }
      if (result !== undefined) {
        recordIfUnresponsive(context, progress, result);
        const { sentAtMs, firstEventAtMs } = progress;
        return { ...result, sentAtMs, firstEventAtMs };
      }
    }
  } finally {
    unanswered.remove();
    progress.heldMemory.release();
    view.unsentAttempts.delete(progress.withdrawUnsent);
    endWatch(progress);
    progress.call.release();
    progress.coldAttempt?.end();
    view.inFlight -= 1;
    const endedTokens = endPrefill(progress);
    reportLoad(context, request, placement, endedTokens);
    recordAttemptEnd(context, view);
  }
}

/** Tells the other routers of a change, if the upstream is a model engine. */
function reportLoad(
  context: GatewayContext,
  { service }: ServedRequest,
  { upstream }: Placement,
  changedTokens: number,
): void {
  if (service.engine !== undefined) {
    recordLoadChange(context, upstream, changedTokens);
  }
}

function openAttempt(context: GatewayContext, request: ServedRequest, placement: Placement): AttemptProgress {
  const nowMs = context.loop.nowMs();
  const { exchange, attempts, triedUpstreams } = request;
  const { upstream } = placement;
  const number = attempts.length + 1;
  const record: AttemptRecord = {
    attemptId: `${request.requestId}/${number}`,
    foreign: false,
    state: AttemptState.NotSent,
  };
  attempts.push(record);
  if (upstream.takeResumed(nowMs)) {
    context.log(LogLevel.Info, 'upstream takes requests again', { upstream: upstream.entry.upstreamId });
  }
  triedUpstreams.add(upstream.entry.upstreamId);
  const withdrawUnsent = (): void => {
    context.loop.push(exchange.events, { kind: RequestEventKind.UpstreamUnavailable, attempt: number });
  };
  upstream.unsentAttempts.add(withdrawUnsent);
  const watchUpstream = (): void => {
    progress.watch ??= context.upstreamPort.watch(upstream.entry);
  };
  const coldAttempt = beginColdAttempt(context, upstream);
  const call = context.upstreamPort.open(
    upstream.entry,
    {
      head: exchange.head,
      body: exchange.body,
      remainingMs: Math.max(1, Math.floor(request.deadlineAtMs - nowMs)),
      organisationName: request.organisationName,
      priority: request.route.kind === RouteKind.Streaming ? enginePriority(context, request) : undefined,
      lastEventId: request.lastEventId,
    },
    number,
    (event) => {
      context.loop.push(exchange.events, event);
    },
  );
  const progress: AttemptProgress = {
    number,
    record,
    placement,
    call,
    splitter: request.route.kind === RouteKind.Streaming ? new EventSplitter() : undefined,
    head: undefined,
    bodyBytes: undefined,
    held: new ByteCollector(),
    heldMemory: new HeldResponse(context, call),
    plainBytes: 0,
    progressBytes: 0,
    lastProgressAtMs: nowMs,
    retryNotBeforeMs: -Infinity,
    prefillPending: true,
    sentAtMs: undefined,
    firstEventAtMs: undefined,
    startRecorded: false,
    withdrawUnsent,
    watchUpstream,
    watch: undefined,
    coldAttempt,
  };
  return progress;
}

function handleEvent(
  context: GatewayContext,
  request: ServedRequest,
  progress: AttemptProgress,
  event: RequestEvent,
  mayRetry: boolean,
): AttemptResult | undefined {
  if (event.kind === RequestEventKind.CallerDisconnected) {
    progress.call.cancel();
    return { end: AttemptEnd.CallerDisconnected, detail: 'caller closed its connection' };
  }
  if (event.kind === RequestEventKind.RouterStopping) {
    if (request.responseStarted && !context.board.endingResponses) {
      // It can only be completed or cut off, and the process still has some time.
      return undefined;
    }
    progress.call.cancel();
    return { end: AttemptEnd.RouterStopping, detail: 'router exits before the response is complete' };
  }
  if (event.kind === RequestEventKind.PartQuarantined) {
    if (progress.firstEventAtMs !== undefined) {
      return undefined;
    }
    progress.call.cancel();
    return { end: AttemptEnd.Withdrawn, detail: 'part of the prompt quarantined before the answer began' };
  }
  if (event.attempt !== progress.number) {
    return undefined;
  }
  const nowMs = context.loop.nowMs();
  switch (event.kind) {
    case RequestEventKind.UpstreamSent:
      progress.record.state = AttemptState.Sent;
      progress.lastProgressAtMs = nowMs;
      progress.sentAtMs = nowMs;
      progress.coldAttempt?.recordSent();
      progress.placement.upstream.unsentAttempts.delete(progress.withdrawUnsent);
      prepareWatch(progress);
      request.sentCount += 1;
      return undefined;
    case RequestEventKind.UpstreamUnavailable:
      if (progress.record.state !== AttemptState.NotSent) {
        return undefined;
      }
      progress.call.cancel();
      return { end: AttemptEnd.NotSent, detail: 'upstream unavailable before the request was sent' };
    case RequestEventKind.UpstreamHead:
      recordProgress(progress, nowMs);
      progress.head = event.head;
      progress.coldAttempt?.end();
      progress.bodyBytes = event.bodyBytes;
      adjustWatch(progress, event.endsWithConnection);
      return handleResponseHead(context, request, progress, event.head, mayRetry);
    case RequestEventKind.UpstreamData:
      return relayData(context, request, progress, event.data);
    case RequestEventKind.UpstreamEnd:
      return handleResponseEnd(context, request, progress);
    case RequestEventKind.UpstreamFailed:
      return handleFailure(context, progress, event.failure, event.detail);
  }
}

function handleResponseHead(
  context: GatewayContext,
  request: ServedRequest,
  progress: AttemptProgress,
  head: UpstreamResponseHead,
  mayRetry: boolean,
): AttemptResult | undefined {
  const view = progress.placement.upstream;
  const nowMs = context.loop.nowMs();
  if (head.upstreamLeaving && !head.wrongUpstream) {
    recordLeaving(context, view, 'response');
  } else if (head.matchesRequest && !head.wrongUpstream) {
    view.confirmEntry();
  }
  if (!head.wrongUpstream) {
    recordResponse(context, view);
  }
  const asksForTime = recordRetryAfter(context, view, head.retryAfter);
  if (head.belongsToOtherRequest) {
    // Whatever it says, also that the upstream did not execute the request, says nothing about this one.
    progress.call.cancel();
    view.recordFailure(nowMs);
    return { end: AttemptEnd.Broken, detail: 'response belongs to another request' };
  }
  if (head.wrongUpstream) {
    progress.record.state = AttemptState.RefusedByUpstream;
    progress.call.discard();
    view.eject(nowMs, context.options.placement.ejectionMaxMs);
    return { end: AttemptEnd.Refused, detail: 'address now belongs to another upstream' };
  }
  if (head.notExecuted) {
    progress.record.state = AttemptState.RefusedByUpstream;
    progress.call.discard();
    if (!asksForTime) {
      view.recordFailure(nowMs);
    }
    return { end: AttemptEnd.Refused, detail: `upstream refused the request with status ${head.status}` };
  }
  if (!head.matchesRequest || !head.signed) {
    progress.call.cancel();
    view.recordFailure(nowMs);
    return { end: AttemptEnd.Broken, detail: 'response does not match the request or is not signed' };
  }
  progress.record.state = AttemptState.Ran;
  const isServerError = head.status >= FIRST_SERVER_ERROR_STATUS;
  if (isServerError) {
    view.recordFailure(nowMs);
  }
  if (request.responseStarted && head.status !== EVENT_STREAM_STATUS) {
    progress.call.cancel();
    return { end: AttemptEnd.Broken, detail: `upstream sent status ${head.status} for a resumed stream` };
  }
  if (isServerError && mayRetry && isRetryable(request)) {
    progress.call.discard();
    return { end: AttemptEnd.ErrorResponse, detail: `upstream responded with status ${head.status}` };
  }
  if (!isServerError) {
    recordSwitch(context, request);
  }
  return (progress.bodyBytes ?? 0) > MAX_BODY_BYTES
    ? rejectResponse(context, progress, `upstream announced a body of more than ${MAX_BODY_BYTES} bytes`)
    : undefined;
}

/** Events are buffered until they are complete. A larger one is taken for a response that does not end. */
const MAX_EVENT_BYTES = 1_048_576;

function relayData(
  context: GatewayContext,
  request: ServedRequest,
  progress: AttemptProgress,
  data: Buffer,
): AttemptResult | undefined {
  progress.placement.upstream.lastDataAtMs = context.loop.nowMs();
  const isEventStream = progress.splitter !== undefined && progress.head?.status === EVENT_STREAM_STATUS;
  if (!isEventStream) {
    return holdData(context, request, progress, data);
  }
  const split = progress.splitter.push(data);
  if (split.count > 0) {
    progress.firstEventAtMs ??= context.loop.nowMs();
    recordProgress(progress, context.loop.nowMs());
    const endedTokens = endPrefill(progress);
    if (endedTokens > 0) {
      reportLoad(context, request, progress.placement, endedTokens);
    }
    progress.placement.upstream.recordSentParts(request.exchange.head.promptParts, context.loop.nowMs());
    request.deliveredEvents += split.count;
    request.lastEventId = split.lastEventId ?? request.lastEventId;
    writeToCaller(context, request, progress, split.data);
    recordAnswerStart(context, request, progress, context.options.quarantine.startConfirmMs);
  }
  progress.heldMemory.update(progress.splitter.incompleteBytes);
  return progress.splitter.incompleteBytes > MAX_EVENT_BYTES
    ? rejectResponse(context, progress, `upstream sent an event of more than ${MAX_EVENT_BYTES} bytes`)
    : undefined;
}

/** Cancels a response that cannot become complete. */
function rejectResponse(context: GatewayContext, progress: AttemptProgress, detail: string): AttemptResult {
  progress.call.cancel();
  progress.placement.upstream.recordFailure(context.loop.nowMs());
  return { end: AttemptEnd.Broken, detail };
}

/**
 * Maximum size of a plain response without a length. It is buffered as a whole, since only its end shows that it is
 * not endless; the caller of an endless one gets a final reply or the response of another upstream.
 */
const MAX_UNSIZED_BODY_BYTES = 1_048_576;

/** Bytes of a plain response that count as progress; fewer may come from an upstream that never finishes. */
const MIN_PROGRESS_BYTES = 512;

function holdData(
  context: GatewayContext,
  request: ServedRequest,
  progress: AttemptProgress,
  data: Buffer,
): AttemptResult | undefined {
  progress.held.append(data);
  progress.heldMemory.update(progress.held.length);
  progress.plainBytes += data.length;
  if (progress.plainBytes - progress.progressBytes >= MIN_PROGRESS_BYTES) {
    recordProgress(progress, context.loop.nowMs());
  }
  if (progress.bodyBytes === undefined) {
    return progress.plainBytes > MAX_UNSIZED_BODY_BYTES
      ? rejectResponse(
          context,
          progress,
          `upstream sent a body without a length of more than ${MAX_UNSIZED_BODY_BYTES} bytes`,
        )
      : undefined;
  }
  if (progress.plainBytes > MAX_HELD_RESPONSE_BYTES) {
    writeHeldData(context, request, progress);
  }
  return undefined;
}

function writeHeldData(context: GatewayContext, request: ServedRequest, progress: AttemptProgress): void {
  if (progress.held.length > 0) {
    writeToCaller(context, request, progress, progress.held.take());
    progress.heldMemory.update(0);
  }
}

function writeToCaller(
  context: GatewayContext,
  request: ServedRequest,
  progress: AttemptProgress,
  data: Buffer,
): void {
  startResponse(context, request, progress);
  const writable = request.exchange.write(data, () => {
    progress.call.resume();
  });
  if (!writable) {
    progress.call.pause();
  }
}

function startResponse(context: GatewayContext, request: ServedRequest, progress: AttemptProgress): void {
  if (request.responseStarted || progress.head === undefined) {
    return;
  }
  request.responseStarted = true;
  request.firstDataMs = context.loop.nowMs();
  request.exchange.start(progress.head.status, progress.head.forwardHeaders);
}

function handleResponseEnd(
  context: GatewayContext,
  request: ServedRequest,
  progress: AttemptProgress,
): AttemptResult {
  const remainder = progress.splitter?.takeRemainder();
  if (remainder !== undefined && !isBlank(remainder)) {
    return handleFailure(context, progress, UpstreamFailure.ConnectionClosed, 'stream ended inside an event');
  }
  writeHeldData(context, request, progress);
  startResponse(context, request, progress);
  if ((progress.head?.status ?? FIRST_SERVER_ERROR_STATUS) < FIRST_SERVER_ERROR_STATUS) {
    progress.placement.upstream.recordSuccess();
  }
  request.exchange.end();
  recordAnswerStart(context, request, progress, 0);
  return { end: AttemptEnd.Answered, detail: `status ${progress.head?.status ?? 0}` };
}

function handleFailure(
  context: GatewayContext,
  progress: AttemptProgress,
  failure: UpstreamFailure,
  detail: string,
): AttemptResult {
  const { upstream } = progress.placement;
  const nowMs = context.loop.nowMs();
  upstream.recordFailure(nowMs);
  if (failure === UpstreamFailure.ConnectionRefused) {
    // Its process has ended; one that starts again registers anew.
    upstream.eject(nowMs, context.options.placement.ejectionMaxMs);
  }
  const sent = progress.record.state !== AttemptState.NotSent;
  return { end: sent ? AttemptEnd.Broken : AttemptEnd.NotSent, failure, detail };
}
