import type { CoreContext } from '../context.ts';
import { EffectKind } from '../types/effects.ts';
import type { PeerMessage, PeerSender, UsageRecord } from '../types/messages.ts';
import { PeerMessageKind, RecordState } from '../types/messages.ts';
import { recordKey } from './keys.ts';
import { dropCopy, wakeRecordWaiters } from './records.ts';
import { localRecords } from './reservations.ts';

function reply(context: CoreContext, sender: PeerSender, message: PeerMessage): void {
  context.emit({ kind: EffectKind.PeerSend, peerAddress: sender.peerAddress, message });
}

/** Stores a copy and acknowledges it. A reservation that arrives after its usage record is ignored. */
export function handleRecordCopy(context: CoreContext, sender: PeerSender, record: UsageRecord): void {
  const { copies, resolvedAtMs } = context.board.money;
  const key = recordKey(record);
  const known = copies.get(key)?.record;
  const outdated = known?.state === RecordState.Used && record.state === RecordState.Reserved;
  if (!resolvedAtMs.has(key) && !outdated) {
    copies.set(key, {
      record,
      receivedAtMs: context.clock.monotonicMs,
      ownerVmId: sender.vmId,
      ownerPeerAddress: sender.peerAddress,
    });
  }
  reply(context, sender, { kind: PeerMessageKind.RecordCopyAck, requestId: key, state: record.state });
}

/** Handles an acknowledgement; `requestId` carries the record key, as in `RecordResolved`. */
export function handleRecordCopyAck(
  context: CoreContext,
  sender: PeerSender,
  requestId: string,
  state: RecordState,
): void {
  const { ownRecords, acknowledgedBy, ownIncarnationIds } = context.board.money;
  const record = ownRecords.get(requestId);
  if (record?.state === state) {
    acknowledgedBy.get(requestId)?.add(sender.incarnationId);
    wakeRecordWaiters(context, requestId);
  }
  const [incarnationId] = requestId.split('/');
  if (record === undefined && ownIncarnationIds.has(incarnationId ?? '')) {
    // The copy holder missed the message that the record is resolved.
    reply(context, sender, { kind: PeerMessageKind.RecordResolved, requestIds: [requestId] });
  }
}

/** Drops copies; `requestIds` carries record keys, because two organisations may use the same request identity. */
export function handleRecordResolved(context: CoreContext, requestIds: readonly string[]): void {
  for (const key of requestIds) {
    dropCopy(context, key);
  }
}

export function handleRecordQuery(
  context: CoreContext,
  sender: PeerSender,
  queryId: string,
  requestId: string,
): void {
  const running = [...context.board.requests.running.values()].some(
    (request) => request.scopedRequestId === requestId,
  );
  const records = localRecords(context, requestId);
  reply(context, sender, { kind: PeerMessageKind.RecordQueryReply, queryId, records, running });
}

export function handleRecordQueryReply(
  context: CoreContext,
  queryId: string,
  records: readonly UsageRecord[],
  running: boolean,
): void {
  context.board.money.queries.get(queryId)?.push({ records, running });
}

/**
 * Replies to a reclaim with all records of the incarnation. A router that heard the incarnation within the grace
 * time does not reply, which keeps the reclaiming router from taking the incarnation for dead.
 */
export function handleOpenRecordsRequest(
  context: CoreContext,
  sender: PeerSender,
  queryId: string,
  incarnationId: string,
): void {
  const { board, clock, options } = context;
  const heard = [...board.membership.peers.values()].some(
    (peer) =>
      peer.sender.incarnationId === incarnationId &&
      clock.monotonicMs - peer.heardAtMs < options.reclaimGraceMs,
  );
  if (heard || incarnationId === board.incarnationId) {
    return;
  }
  const { copies, ownRecords } = board.money;
  const copied = [...copies.values()].map((copy) => copy.record);
  const records = [...ownRecords.values(), ...copied].filter(
    (record) => record.incarnationId === incarnationId,
  );
  reply(context, sender, { kind: PeerMessageKind.OpenRecordsReply, queryId, records });
}

export function handleOpenRecordsReply(
  context: CoreContext,
  queryId: string,
  records: readonly UsageRecord[],
): void {
  context.board.money.queries.get(queryId)?.push({ records, running: false });
}
