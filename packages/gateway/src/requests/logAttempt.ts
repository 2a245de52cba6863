import type { GatewayContext } from '../context.ts';
import { LogLevel } from '../observability/log.ts';
import type { Placement } from '../placement/chooseUpstream.ts';
import type { AttemptOutcome } from './attemptProgress.ts';
import { AttemptEnd } from './attemptProgress.ts';
import type { ServedRequest } from './servedRequest.ts';

/** Writes the log entry of an attempt. */
export function logAttempt(
  context: GatewayContext,
  request: ServedRequest,
  placement: Placement,
  result: AttemptOutcome,
): void {
  const isRoutine = result.end === AttemptEnd.Answered || result.end === AttemptEnd.CallerDisconnected;
  context.log(isRoutine ? LogLevel.Debug : LogLevel.Info, 'attempt ended', {
    requestId: request.requestId,
    attempt: request.attempts.length,
    upstream: placement.upstream.entry.upstreamId,
    address: placement.upstream.entry.address,
    end: result.end,
    detail: result.detail,
    expectedCostMs: Math.round(placement.costMs),
    uncachedTokens: Math.round(placement.uncachedTokens),
    upstreamInFlight: placement.upstream.inFlight,
    ...(isRoutine ? {} : attemptPhaseFields(context, request, result)),
  });
}

/** Log fields that tell which phase an attempt reached and which prompt it held, for comparing attempts that failed together. */
function attemptPhaseFields(
  { loop }: GatewayContext,
  { exchange }: ServedRequest,
  { sentAtMs, firstEventAtMs }: AttemptOutcome,
): Readonly<Record<string, unknown>> {
  const sinceMs = (atMs: number | undefined): number | undefined =>
    atMs === undefined ? undefined : Math.round(loop.nowMs() - atMs);
  return {
    sinceSentMs: sinceMs(sentAtMs),
    sinceFirstEventMs: sinceMs(firstEventAtMs),
    promptParts: exchange.head.promptParts.map(({ partId }) => partId),
  };
}
