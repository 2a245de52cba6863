import type { CoreContext } from '../context.ts';
import { liveRegionPeers } from '../membership/livePeers.ts';
import { Channel } from '../scheduler/channel.ts';
import type { Task } from '../scheduler/task.ts';
import { receive } from '../scheduler/task.ts';
import { EffectKind } from '../types/effects.ts';
import type { UsageRecord } from '../types/messages.ts';
import { PeerMessageKind } from '../types/messages.ts';
import { keepLatest } from './reservations.ts';
import type { RecordsAnswer } from './types.ts';

/** Records of one incarnation, and whether every live peer of the region answered. */
export interface OpenRecords {
  readonly records: readonly UsageRecord[];
  readonly complete: boolean;
}

/** Asks all peers of the region for the records of an incarnation; peers that still hear it stay silent. */
export function* collectOpenRecords(context: CoreContext, incarnationId: string): Task<OpenRecords> {
  const { queries, copies, ownRecords } = context.board.money;
  const channel = new Channel<RecordsAnswer>();
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
  const answers: RecordsAnswer[] = [];
  while (answers.length < queryIds.length && context.clock.monotonicMs < deadlineMs) {
    const answer = yield* receive(channel, deadlineMs);
    answers.push(...(answer === undefined ? [] : [answer]));
  }
  for (const queryId of queryIds) {
    queries.delete(queryId);
  }
  const records = new Map<string, UsageRecord>();
  const local = [...ownRecords.values(), ...[...copies.values()].map((copy) => copy.record)];
  for (const record of [...local, ...answers.flatMap((answer) => answer.records)]) {
    if (record.incarnationId === incarnationId) {
      keepLatest(records, record);
    }
  }
  return { records: [...records.values()], complete: answers.length === queryIds.length };
}
