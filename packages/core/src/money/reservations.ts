import type { CoreContext } from '../context.ts';
import { withChannel } from '../context.ts';
import type { PeerInfo } from '../membership/types.ts';
import { Channel } from '../scheduler/channel.ts';
import type { Task } from '../scheduler/task.ts';
import { receive } from '../scheduler/task.ts';
import { EffectKind } from '../types/effects.ts';
import type { UsageRecord } from '../types/messages.ts';
import { PeerMessageKind, RecordState } from '../types/messages.ts';
import { logWarn } from '../log.ts';
import { isSafe, sendCopies, waitUntilSafe } from './copies.ts';
import { recordKey } from './keys.ts';
import { lookupPeers } from './recordPeers.ts';
import { changeCommitted, putOwnRecord, resolveRecords } from './records.ts';
import { settleableRecords } from './settleableRecords.ts';
import { shareOf } from './shares.ts';
import type { RecordsAnswer, Reservation } from './types.ts';

/**
 * Copies the reservation to peers of the region and waits for the first acknowledgement, so that the money of a
 * request that may run is known after this router's death.
 */
export function* replicateReservation(
  context: CoreContext,
  reservation: Reservation,
  upstreamAddress: string | undefined,
): Task<void> {
  const existing = context.board.money.ownRecords.get(recordKey(reservation));
  if (existing?.state !== RecordState.Reserved) {
    return;
  }
  const record: UsageRecord = { ...existing, upstreamAddress };
  putOwnRecord(context, record);
  if (sendCopies(context, record)) {
    const deadlineMs = context.clock.monotonicMs + context.options.reservationCopyWaitMs;
    yield* waitUntilSafe(context, record, deadlineMs);
  }
}

/**
 * Turns a reservation into a usage record and waits, for a bounded time, until a peer or the table holds it. The
 * caller of this function sends the last byte of the answer only after it returned.
 */
export function* completeReservation(
  context: CoreContext,
  reservation: Reservation,
  usedMicros: number,
): Task<void> {
  const existing = context.board.money.ownRecords.get(recordKey(reservation));
  if (existing?.state !== RecordState.Reserved) {
    return;
  }
  const amountMicros = boundUsage(context, reservation, usedMicros);
  if (amountMicros === 0) {
    releaseReservation(context, reservation);
    return;
  }
  giveBackUnused(context, existing, existing.amountMicros - amountMicros);
  const record: UsageRecord = { ...existing, state: RecordState.Used, amountMicros };
  yield* secureUsage(context, record);
}

/**
 * Takes over the usage of a request that another router ran, for an answer that is repeated from its record. The
 * bill bucket recognises the identity if its router has settled it already.
 */
export function* adoptUsage(context: CoreContext, record: UsageRecord): Task<void> {
  const { ownRecords, ownIncarnationIds } = context.board.money;
  // Own usage stays in memory until it is settled, so what is not there any more has been billed.
  if (!ownRecords.has(recordKey(record)) && !ownIncarnationIds.has(record.incarnationId)) {
    yield* secureUsage(context, record);
  }
}

/** Waits, for a bounded time, until a peer holds the usage record or the table has settled it. */
function* secureUsage(context: CoreContext, record: UsageRecord): Task<void> {
  const { options, board } = context;
  const startedAtMs = context.clock.monotonicMs;
  putOwnRecord(context, record);
  const pageIsFull = settleableRecords(context, record.organisationId).length >= options.settlePageSize;
  const sent = sendCopies(context, record);
  if (sent) {
    yield* waitUntilSafe(context, record, startedAtMs + options.reservationCopyWaitMs);
  }
  if (pageIsFull) {
    board.money.drawRequests.push(record.organisationId);
  }
  // The peers that look live may be gone, so the table is asked before the wait is over. A request that meets a
  // running synchronisation has no effect, so it is repeated.
  const deadlineMs = startedAtMs + options.usageCopyWaitMs;
  while (!isSafe(context, recordKey(record)) && context.clock.monotonicMs < deadlineMs) {
    board.money.drawRequests.push(record.organisationId);
    const nextMs = context.clock.monotonicMs + options.reservationCopyWaitMs;
    yield* waitUntilSafe(context, record, Math.min(deadlineMs, nextMs));
  }
}

/** Usage above the reservation is not charged: the budget was only asked for the reserved amount. */
function boundUsage(context: CoreContext, reservation: Reservation, usedMicros: number): number {
  if (usedMicros > reservation.amountMicros) {
    const { requestId, organisationId, amountMicros } = reservation;
    logWarn(context, 'The usage exceeds its reservation; only the reserved amount is charged.', {
      requestId,
      organisationId,
      amountMicros,
      usedMicros,
    });
  }
  return Math.max(0, Math.min(usedMicros, reservation.amountMicros));
}

function giveBackUnused(context: CoreContext, record: UsageRecord, unusedMicros: number): void {
  if (record.incarnationId === context.board.incarnationId) {
    shareOf(context, record.organisationId).recentMicros -= unusedMicros;
  }
  changeCommitted(context, record, -unusedMicros);
}

/** Gives a reservation back whose request certainly did not run. */
export function releaseReservation(context: CoreContext, reservation: Reservation): void {
  const key = recordKey(reservation);
  const record = context.board.money.ownRecords.get(key);
  if (record?.state !== RecordState.Reserved) {
    return;
  }
  if (record.incarnationId === context.board.incarnationId) {
    shareOf(context, record.organisationId).recentMicros -= record.amountMicros;
  }
  resolveRecords(context, [key]);
}

export interface RecordLookupResult {
  readonly records: readonly UsageRecord[];
  /** Caller address of a peer that serves a request with this identity now. */
  readonly runningAddress: string | undefined;
}

/** Asks the peers that hold an organisation's records what they know of a request identity. */
export function* findRecords(
  context: CoreContext,
  organisationId: string,
  requestId: string,
): Task<RecordLookupResult> {
  const deadlineMs = context.clock.monotonicMs + context.options.reservationCopyWaitMs;
  const queries = lookupPeers(context, organisationId).map((peer) => startQuery(context, peer, requestId));
  const records = new Map<string, UsageRecord>();
  let runningAddress: string | undefined;
  for (const { peer, queryId, channel } of queries) {
    const answer = yield* withChannel(
      context.board.money.queries,
      queryId,
      channel,
      receive(channel, deadlineMs),
    );
    for (const record of answer?.records ?? []) {
      keepLatest(records, record);
    }
    runningAddress ??= answer?.running === true ? peer.callerAddress : undefined;
  }
  for (const record of knownRecords(context, requestId)) {
    keepLatest(records, record);
  }
  return { records: [...records.values()], runningAddress };
}

/** One query identifier per peer, because the answer does not name its sender. */
function startQuery(
  context: CoreContext,
  peer: PeerInfo,
  requestId: string,
): { peer: PeerInfo; queryId: string; channel: Channel<RecordsAnswer> } {
  const queryId = context.newId();
  const channel = new Channel<RecordsAnswer>();
  context.board.money.queries.set(queryId, channel);
  context.emit({
    kind: EffectKind.PeerSend,
    peerAddress: peer.sender.peerAddress,
    message: { kind: PeerMessageKind.RecordQuery, queryId, requestId },
  });
  return { peer, queryId, channel };
}

/** Own records and copies of a request identity. */
export function knownRecords(context: CoreContext, requestId: string): UsageRecord[] {
  const { ownRecords, copies } = context.board.money;
  const copied = [...copies.values()].map((copy) => copy.record);
  return [...ownRecords.values(), ...copied].filter((record) => record.requestId === requestId);
}

/** Keeps the usage rather than the reservation when both arrive. */
export function keepLatest(records: Map<string, UsageRecord>, record: UsageRecord): void {
  const key = recordKey(record);
  if (records.get(key)?.state !== RecordState.Used) {
    records.set(key, record);
  }
}
