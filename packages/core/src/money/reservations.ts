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
import { isReplicated, sendCopies, waitUntilReplicated } from './copies.ts';
import { recordKey } from './keys.ts';
import { lookupPeers } from './recordPeers.ts';
import { adjustCommitted, putOwnRecord, resolveRecords } from './records.ts';
import { settleableRecords } from './settleableRecords.ts';
import { getOrCreateShare } from './shares.ts';
import type { RecordsReply, Reservation } from './types.ts';

/**
 * Copies the reservation to peers of the region and waits for the first acknowledgement, so that the amount reserved
 * for a request that may run is known after this router dies.
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
    yield* waitUntilReplicated(context, record, deadlineMs);
  }
}

/**
 * Turns a reservation into a usage record and waits, for a bounded time, until a peer or the table holds it. Callers
 * must not send the last byte of the answer before this function returns.
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
  const amountMicros = capUsage(context, reservation, usedMicros);
  if (amountMicros === 0) {
    releaseReservation(context, reservation);
    return;
  }
  releaseUnused(context, existing, existing.amountMicros - amountMicros);
  const record: UsageRecord = { ...existing, state: RecordState.Used, amountMicros };
  yield* replicateUsage(context, record);
}

/**
 * Takes over the usage of a request that another router ran, when its answer is replayed from the record. If that
 * router has already settled it, the bill row contains the identity and nothing is charged.
 */
export function* adoptUsage(context: CoreContext, record: UsageRecord): Task<void> {
  const { ownRecords, ownIncarnationIds } = context.board.money;
  // Owned usage stays in memory until it is settled, so a missing record of this process has been billed.
  if (!ownRecords.has(recordKey(record)) && !ownIncarnationIds.has(record.incarnationId)) {
    yield* replicateUsage(context, record);
  }
}

/** Waits, for a bounded time, until a peer holds the usage record or the table has settled it. */
function* replicateUsage(context: CoreContext, record: UsageRecord): Task<void> {
  const { options, board } = context;
  const startedAtMs = context.clock.monotonicMs;
  putOwnRecord(context, record);
  const pageIsFull = settleableRecords(context, record.organisationId).length >= options.settlePageSize;
  const sent = sendCopies(context, record);
  if (sent) {
    yield* waitUntilReplicated(context, record, startedAtMs + options.reservationCopyWaitMs);
  }
  if (pageIsFull) {
    board.money.drawRequests.push(record.organisationId);
  }
  // Peers that appear live may be gone, so settlement in the table is requested before the wait ends. The request is
  // repeated because it has no effect while a synchronisation runs.
  const deadlineMs = startedAtMs + options.usageCopyWaitMs;
  while (!isReplicated(context, recordKey(record)) && context.clock.monotonicMs < deadlineMs) {
    board.money.drawRequests.push(record.organisationId);
    const nextMs = context.clock.monotonicMs + options.reservationCopyWaitMs;
    yield* waitUntilReplicated(context, record, Math.min(deadlineMs, nextMs));
  }
}

/** Limits usage to the reservation: nothing beyond the reserved amount was taken from the budget. */
function capUsage(context: CoreContext, reservation: Reservation, usedMicros: number): number {
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

function releaseUnused(context: CoreContext, record: UsageRecord, unusedMicros: number): void {
  if (record.incarnationId === context.board.incarnationId) {
    getOrCreateShare(context, record.organisationId).recentMicros -= unusedMicros;
  }
  adjustCommitted(context, record, -unusedMicros);
}

/** Releases the reservation of a request that certainly did not run. */
export function releaseReservation(context: CoreContext, reservation: Reservation): void {
  const key = recordKey(reservation);
  const record = context.board.money.ownRecords.get(key);
  if (record?.state !== RecordState.Reserved) {
    return;
  }
  if (record.incarnationId === context.board.incarnationId) {
    getOrCreateShare(context, record.organisationId).recentMicros -= record.amountMicros;
  }
  resolveRecords(context, [key]);
}

export interface RecordLookupResult {
  readonly records: readonly UsageRecord[];
  /** Caller address of a peer that is serving a request with this identity. */
  readonly runningAddress: string | undefined;
}

/** Queries the peers that may hold an organisation's records for a request identity. */
export function* findRecords(
  context: CoreContext,
  organisationId: string,
  requestId: string,
): Task<RecordLookupResult> {
  const deadlineMs = context.clock.monotonicMs + context.options.reservationCopyWaitMs;
  const queries = lookupPeers(context, organisationId).map((peer) =>
    sendRecordQuery(context, peer, requestId),
  );
  const records = new Map<string, UsageRecord>();
  let runningAddress: string | undefined;
  for (const { peer, queryId, channel } of queries) {
    const reply = yield* withChannel(
      context.board.money.queries,
      queryId,
      channel,
      receive(channel, deadlineMs),
    );
    for (const record of reply?.records ?? []) {
      mergeRecord(records, record);
    }
    runningAddress ??= reply?.running === true ? peer.callerAddress : undefined;
  }
  for (const record of localRecords(context, requestId)) {
    mergeRecord(records, record);
  }
  return { records: [...records.values()], runningAddress };
}

/** Sends a query with an identifier of its own, because the reply does not name its sender. */
function sendRecordQuery(
  context: CoreContext,
  peer: PeerInfo,
  requestId: string,
): { peer: PeerInfo; queryId: string; channel: Channel<RecordsReply> } {
  const queryId = context.newId();
  const channel = new Channel<RecordsReply>();
  context.board.money.queries.set(queryId, channel);
  context.emit({
    kind: EffectKind.PeerSend,
    peerAddress: peer.sender.peerAddress,
    message: { kind: PeerMessageKind.RecordQuery, queryId, requestId },
  });
  return { peer, queryId, channel };
}

/** Owned records and copies of a request identity. */
export function localRecords(context: CoreContext, requestId: string): UsageRecord[] {
  const { ownRecords, copies } = context.board.money;
  const copied = [...copies.values()].map((copy) => copy.record);
  return [...ownRecords.values(), ...copied].filter((record) => record.requestId === requestId);
}

/** Adds a record; a usage record takes precedence over the reservation. */
export function mergeRecord(records: Map<string, UsageRecord>, record: UsageRecord): void {
  const key = recordKey(record);
  if (records.get(key)?.state !== RecordState.Used) {
    records.set(key, record);
  }
}
