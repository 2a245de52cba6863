import type { Task } from '@pimentostall/core';
import type { GatewayContext } from '../context.ts';
import { LogLevel } from '../observability/log.ts';
import { recordUnresponsive } from '../placement/coldUpstreams.ts';
import type { Placement } from '../placement/chooseUpstream.ts';
import type { UpstreamView } from '../placement/upstreamView.ts';
import { applySuspectChanges } from '../quarantine/applySuspectChanges.ts';
import type { UnansweredAttempt } from '../quarantine/quarantineState.ts';
import { PartChange, sharedPartIds } from '../quarantine/suspectTable.ts';
import type { AttemptOutcome, AttemptProgress } from './attemptProgress.ts';
import { AttemptEnd } from './attemptProgress.ts';
import { RequestEventKind, UpstreamFailure } from './ports.ts';
import type { ServedRequest } from './servedRequest.ts';

/** A request that must not be sent now. */
export interface WithheldRequest {
  readonly partId: string;
  /** Time until a request with the part may be sent. */
  readonly retryInMs: number;
}

/** Returns why a request must not be sent to an engine; undefined if it may, also as the probe of a quarantined part. */
export function checkQuarantine(
  context: GatewayContext,
  request: ServedRequest,
): WithheldRequest | undefined {
  const { board, log, loop } = context;
  const { table } = board.quarantine;
  const partIds = partIdsOf(request).filter((partId) => partId !== request.probe?.partId);
  const verdict = table.check(partIds, loop.nowMs());
  switch (verdict.kind) {
    case 'allowed':
      return undefined;
    case 'withheld':
      return verdict;
    case 'probe-due':
      request.probe = table.startProbe(verdict.partId, loop.nowMs());
      log(LogLevel.Info, 'request let through as the probe of a quarantined part', {
        requestId: request.requestId,
        ...request.probe,
      });
      applySuspectChanges(context, [{ partId: verdict.partId, change: PartChange.Updated }]);
      return undefined;
  }
}

/** Ends the probe that a request was, if it was one. */
export function endProbe(context: GatewayContext, request: ServedRequest): void {
  if (request.probe !== undefined) {
    const { board, loop } = context;
    applySuspectChanges(context, board.quarantine.table.endProbe(request.probe, loop.nowMs()));
  }
}

/**
 * Finds out whether an attempt broke off because its engine has ended. If so, the engine gets no requests until it is
 * back, and its end counts against the parts of a prompt that it had not begun to answer. An engine that is leaving ends
 * as planned, and a connection that breaks alone says nothing about the engine.
 */
export function* recordEndedEngine(
  context: GatewayContext,
  request: ServedRequest,
  { upstream }: Placement,
  { end, failure, firstEventAtMs }: AttemptOutcome,
): Task<void> {
  const partIds = partIdsOf(request);
  if (end !== AttemptEnd.Broken || failure !== UpstreamFailure.ConnectionClosed || partIds.length === 0) {
    return;
  }
  const { board, log, loop, metrics, options } = context;
  const { entry } = upstream;
  const failedAtMs = loop.nowMs();
  if (!(yield* hasCrashed(context, upstream))) {
    return;
  }
  upstream.eject(loop.nowMs(), options.placement.ejectionMaxMs);
  recordUnresponsive(context, upstream);
  const hadBegun =
    firstEventAtMs !== undefined && failedAtMs - firstEventAtMs >= options.quarantine.startConfirmMs;
  if (hadBegun) {
    return;
  }
  request.endedEngine = true;
  metrics.count('pimentostall_requests_on_ended_engines_total');
  log(LogLevel.Info, 'engine ended before it began to answer', {
    requestId: request.requestId,
    upstream: entry.upstreamId,
    startTimeMs: entry.startTimeMs,
    partIds,
  });
  const engineKey = `${entry.upstreamId}/${entry.startTimeMs ?? ''}`;
  applySuspectChanges(context, board.quarantine.table.recordCrash(engineKey, partIds, failedAtMs));
}

/** Whether an upstream has ended although it was not leaving, after one of its connections was closed. */
function* hasCrashed({ board, loop, upstreamPort }: GatewayContext, upstream: UpstreamView): Task<boolean> {
  const { entry } = upstream;
  const isRegistered = board.upstreams.get(entry.upstreamId) === upstream;
  return isRegistered && upstream.isStaying && (yield* loop.settled(upstreamPort.hasEnded(entry)));
}

/** Whether another engine may get a request although engines have ended with it, or with others that share a part. */
export function mayRiskEngine({ board, options }: GatewayContext, request: ServedRequest): boolean {
  return board.quarantine.table.crashCount(partIdsOf(request)) < options.quarantine.retryThreshold;
}

/** Clears the parts of a prompt once its answer has begun and gone on for a time. */
export function recordAnswerStart(
  context: GatewayContext,
  request: ServedRequest,
  progress: AttemptProgress,
  confirmMs: number,
): void {
  const { firstEventAtMs, startRecorded } = progress;
  const { board, loop } = context;
  const nowMs = loop.nowMs();
  if (startRecorded || firstEventAtMs === undefined || nowMs - firstEventAtMs < confirmMs) {
    return;
  }
  progress.startRecorded = true;
  applySuspectChanges(context, board.quarantine.table.recordStart(partIdsOf(request), firstEventAtMs, nowMs));
}

/** Lets the attempt of a request be withdrawn if one of its parts is quarantined before the answer begins. */
export function registerUnanswered(
  { board, loop }: GatewayContext,
  request: ServedRequest,
): { remove(): void } {
  const { unanswered } = board.quarantine;
  const attempt: UnansweredAttempt = {
    partIds: partIdsOf(request),
    withdraw: () => {
      loop.push(request.exchange.events, { kind: RequestEventKind.PartQuarantined });
    },
  };
  if (attempt.partIds.length > 0 && request.probe === undefined) {
    unanswered.add(attempt);
  }
  return { remove: () => unanswered.delete(attempt) };
}

function partIdsOf({ exchange }: ServedRequest): string[] {
  return sharedPartIds(exchange.head.promptParts);
}
