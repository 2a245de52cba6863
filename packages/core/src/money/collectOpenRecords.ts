import type { CoreContext } from '../context.ts';
import { liveRegionPeers } from '../membership/livePeers.ts';
import { Channel } from '../scheduler/channel.ts';
import type { Task } from '../scheduler/task.ts';
import { receive } from '../scheduler/task.ts';
import { EffectKind } from '../types/effects.ts';
import type { UsageRecord } from '../types/messages.ts';
import { PeerMessageKind } from '../types/messages.ts';
import { mergeRecord } from './reservations.ts';
import type { RecordsReply } from './types.ts';

/** Records of one incarnation; `complete` is true if every live peer of the region replied. */
export interface OpenRecords {
  readonly records: readonly UsageRecord[];
  readonly complete: boolean;
}

/** Asks all peers of the region for the records of an incarnation; peers that still hear it do not reply. */
export function* collectOpenRecords(context: CoreContext, incarnationId: string): Task<OpenRecords> {
  const { queries, copies, ownRecords } = context.board.money;
  const channel = new Channel<RecordsReply>();
  const deadlineMs = context.clock.monotonicMs + context.options.tableTimeoutMs;
  const queryIds = liveRegionPeers(context).map((peer) => {
    const queryId = context.newId();
    queries.set(queryId, channel);
    context.emit({
      kind: EffectKind.PeerSend,
      peerAddress: peer.sender.peerAddress,
      message: { kind: PeerMessageKind.OpenRecordsRequest, queryId, incarnationId },
    });
    return queryId;
  });
  const replies: RecordsReply[] = [];
  while (replies.length < queryIds.length && context.clock.monotonicMs < deadlineMs) {
    const reply = yield* receive(channel, deadlineMs);
    replies.push(...(reply === undefined ? [] : [reply]));
  }
  for (const queryId of queryIds) {
    queries.delete(queryId);
  }
  const records = new Map<string, UsageRecord>();
  const local = [...ownRecords.values(), ...[...copies.values()].map((copy) => copy.record)];
  for (const record of [...local, ...replies.flatMap((reply) => reply.records)]) {
    if (record.incarnationId === incarnationId) {
      mergeRecord(records, record);
    }
  }
  return { records: [...records.values()], complete: replies.length === queryIds.length };
}
