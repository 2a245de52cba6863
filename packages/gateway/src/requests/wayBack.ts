import type { GatewayContext } from '../context.ts';
import { LogLevel } from '../observability/log.ts';
import { permittedUpstreams } from '../placement/permittedUpstreams.ts';
import type { UpstreamView } from '../placement/upstreamView.ts';
import { getOrCreateRetryBudget, tryReserveRetry } from '../retries/reserveRetry.ts';
import type { AttemptResult } from './attemptProgress.ts';
import { AttemptEnd } from './attemptProgress.ts';
import type { ServedRequest } from './servedRequest.ts';

/**
 * The upstream of a started stream that paused and was given up for another one. It may only have preempted the stream, so
 * that the request goes back to it if no other upstream takes it: the caller's response would otherwise be cut off.
 */
export interface WayBack {
  readonly upstream: UpstreamView;
  /** Monotonic time at which the retry for the way back was reserved. */
  readonly reservedAtMs: number;
  /** True once the request goes back to it; it then waits there until its deadline. */
  isTaken: boolean;
}

/** What became of a started stream that paused; label of `pimentostall_paused_streams_total`. */
enum PauseOutcome {
  GivenUp = 'given-up',
  /** Another upstream has taken the stream. */
  Switched = 'switched',
  /** The stream goes on at the upstream that paused. */
  WentBack = 'went-back',
}

/** Another upstream, and the way back from it. */
const RESERVED_RETRIES = 2;

/**
 * Reserves what is needed to give up an upstream that pauses; false if the request must wait for it. A started stream is
 * only given up if another upstream is usable.
 */
export function tryReserveSwitch(
  context: GatewayContext,
  request: ServedRequest,
  upstream: UpstreamView,
): boolean {
  if (!request.responseStarted) {
    return tryReserveRetry(context, request);
  }
  if (!hasAlternative(context, request) || !tryReserveRetry(context, request, RESERVED_RETRIES)) {
    return false;
  }
  request.wayBack = { upstream, reservedAtMs: context.loop.nowMs(), isTaken: false };
  countPause(context, PauseOutcome.GivenUp);
  return true;
}

function hasAlternative(context: GatewayContext, request: ServedRequest): boolean {
  const nowMs = context.loop.nowMs();
  return [...permittedUpstreams(context, request)].some(
    (upstream) =>
      upstream.entry.serviceName === request.service.name &&
      !request.triedUpstreams.has(upstream.entry.upstreamId) &&
      upstream.isUsable(nowMs),
  );
}

/**
 * Records that another upstream has taken the request, which shows that the one that paused had failed. The retry for the
 * way back is not needed any more.
 */
export function recordSwitch(context: GatewayContext, request: ServedRequest): void {
  const { service, wayBack } = request;
  if (wayBack?.isTaken === false) {
    wayBack.upstream.recordFailure(context.loop.nowMs());
    getOrCreateRetryBudget(context, service.name).releaseRetry(wayBack.reservedAtMs);
    request.wayBack = undefined;
    countPause(context, PauseOutcome.Switched);
  }
}

/** Returns true if the request goes back to the upstream that paused. */
export function takeWayBack(context: GatewayContext, request: ServedRequest): boolean {
  const { requestId, triedUpstreams, wayBack } = request;
  if (wayBack?.isTaken !== false) {
    return false;
  }
  wayBack.isTaken = true;
  const { upstreamId } = wayBack.upstream.entry;
  triedUpstreams.delete(upstreamId);
  countPause(context, PauseOutcome.WentBack);
  context.log(LogLevel.Info, 'stream goes back to the upstream that paused; no other one takes it', {
    requestId,
    upstream: upstreamId,
  });
  return true;
}

function countPause({ metrics }: GatewayContext, outcome: PauseOutcome): void {
  metrics.count('pimentostall_paused_streams_total', `outcome="${outcome}"`);
}

/** The same after an attempt that ended the request for lack of another upstream. */
export function takeWayBackAfter(
  context: GatewayContext,
  request: ServedRequest,
  { end }: AttemptResult,
): boolean {
  switch (end) {
    case AttemptEnd.NotSent:
    case AttemptEnd.Refused:
    case AttemptEnd.ErrorResponse:
    case AttemptEnd.Broken:
      return takeWayBack(context, request);
    case AttemptEnd.Answered:
    case AttemptEnd.Withdrawn:
    case AttemptEnd.CallerDisconnected:
    case AttemptEnd.DeadlineExceeded:
    case AttemptEnd.RouterStopping:
      return false;
  }
}

/** Called after each attempt: once the request has gone back, any upstream that is left may get it. */
export function endWayBack(request: ServedRequest): void {
  if (request.wayBack?.isTaken === true) {
    request.wayBack = undefined;
  }
}

/** Whether an upstream may not get the request since it goes back to another one. */
export function isOffWayBack({ wayBack }: ServedRequest, upstream: UpstreamView): boolean {
  return wayBack?.isTaken === true && wayBack.upstream !== upstream;
}
