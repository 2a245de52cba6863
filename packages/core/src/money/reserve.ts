import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { IncarnationStatus } from '../blackboard.ts';
import type { CoreContext } from '../context.ts';
import { liveRegionPeers } from '../membership/livePeers.ts';
import { Channel } from '../scheduler/channel.ts';
import type { Task } from '../scheduler/task.ts';
import { receive } from '../scheduler/task.ts';
import { RecordState, RouterState } from '../types/messages.ts';
import { RefusalReason } from '../types/verdict.ts';
import { recordKey } from './keys.ts';
import { adjustCommitted, putOwnRecord } from './records.ts';
import { availableMicros, getOrCreateLedger, getOrCreateShare } from './shares.ts';
import type { Reservation, ShareWaiter } from './types.ts';

export interface ReserveRequest {
  readonly requestId: string;
  readonly organisationId: string;
  /** Worst-case cost of the request. */
  readonly amountMicros: number;
  /** Monotonic time at which the wait for a draw or a release ends. */
  readonly deadlineMs: number;
}

export interface ReserveFailure {
  readonly reason: RefusalReason.BudgetExhausted | RefusalReason.StoreUnavailable | RefusalReason.Paused;
  /** Caller address of a peer in the region whose share covers the request, if one is known. */
  readonly redirectAddress: string | undefined;
}

/** Interval for reading the budget again while a share is short, in case another router has returned some. */
const REREAD_INTERVAL_MS = 100;

/** Reserves the worst case of a request in this router's share; waits for a bounded time if the share is short. */
export function* reserve(
  context: CoreContext,
  request: ReserveRequest,
): Task<Result<Reservation, ReserveFailure>> {
  const immediate = tryReserve(context, request);
  if (immediate !== undefined) {
    return ok(immediate);
  }
  const { money } = context.board;
  const waiter: ShareWaiter = { amountMicros: request.amountMicros, channel: new Channel() };
  const waiters = money.waiters.get(request.organisationId) ?? new Set();
  money.waiters.set(request.organisationId, waiters.add(waiter));
  try {
    return yield* waitForShare(context, request, waiter);
  } finally {
    waiters.delete(waiter);
    if (waiters.size === 0 && money.waiters.get(request.organisationId) === waiters) {
      money.waiters.delete(request.organisationId);
    }
  }
}

function* waitForShare(
  context: CoreContext,
  request: ReserveRequest,
  waiter: ShareWaiter,
): Task<Result<Reservation, ReserveFailure>> {
  const deadlineMs = Math.min(request.deadlineMs, context.clock.monotonicMs + context.options.reserveWaitMs);
  let rereadAtMs = context.clock.monotonicMs + REREAD_INTERVAL_MS;
  context.board.money.drawRequests.push(request.organisationId);
  while (
    context.board.incarnationStatus === IncarnationStatus.Confirmed &&
    context.clock.monotonicMs < deadlineMs
  ) {
    yield* receive(waiter.channel, Math.min(deadlineMs, rereadAtMs));
    const reservation = tryReserve(context, request);
    if (reservation !== undefined) {
      return ok(reservation);
    }
    // An unallocated amount that does not cover the request is read again only at the interval.
    if (isCoveredByUnallocated(context, request) || context.clock.monotonicMs >= rereadAtMs) {
      context.board.money.drawRequests.push(request.organisationId);
      rereadAtMs = context.clock.monotonicMs + REREAD_INTERVAL_MS;
    }
  }
  return err({
    reason: failureReason(context, request.organisationId),
    redirectAddress: findRedirectAddress(context, request),
  });
}

function isCoveredByUnallocated(context: CoreContext, request: ReserveRequest): boolean {
  const shortfallMicros =
    request.amountMicros - availableMicros(getOrCreateShare(context, request.organisationId));
  return getOrCreateLedger(context, request.organisationId).freeMicros >= shortfallMicros;
}

function failureReason(context: CoreContext, organisationId: string): ReserveFailure['reason'] {
  if (context.board.incarnationStatus === IncarnationStatus.Unconfirmed) {
    return RefusalReason.Paused;
  }
  return getOrCreateLedger(context, organisationId).reachable
    ? RefusalReason.BudgetExhausted
    : RefusalReason.StoreUnavailable;
}

/** Reserves the amount if the share covers it and no other reservation with this identity is open. */
function tryReserve(context: CoreContext, request: ReserveRequest): Reservation | undefined {
  const { board, clock } = context;
  const { requestId, organisationId, amountMicros } = request;
  const reservation = { requestId, organisationId, amountMicros, incarnationId: board.incarnationId };
  if (board.incarnationStatus === IncarnationStatus.Unconfirmed) {
    return undefined;
  }
  const existing = board.money.ownRecords.get(recordKey(reservation));
  if (existing !== undefined) {
    // The usage of this identity is already recorded, so another run costs nothing.
    return existing.state === RecordState.Used ? reservation : undefined;
  }
  const share = getOrCreateShare(context, organisationId);
  share.worstCaseMicros = Math.max(share.worstCaseMicros, amountMicros);
  if (availableMicros(share) < amountMicros) {
    return undefined;
  }
  share.recentMicros += amountMicros;
  share.lastUsedAtMs = clock.monotonicMs;
  putOwnRecord(context, { ...reservation, state: RecordState.Reserved, upstreamAddress: undefined });
  adjustCommitted(context, reservation, amountMicros);
  return reservation;
}

/** Caller address of the live peer in the region with the highest share level, if that covers the amount. */
function findRedirectAddress(context: CoreContext, request: ReserveRequest): string | undefined {
  const levels = liveRegionPeers(context)
    .filter((peer) => peer.state === RouterState.Live)
    .map((peer) => ({
      callerAddress: peer.callerAddress,
      micros:
        peer.shareLevels.find((level) => level.organisationId === request.organisationId)?.availableMicros ??
        0,
    }))
    .filter((level) => level.micros >= request.amountMicros)
    .sort((a, b) => b.micros - a.micros);
  return levels[0]?.callerAddress;
}
