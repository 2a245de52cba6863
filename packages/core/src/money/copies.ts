import type { CoreContext } from '../context.ts';
import { receive } from '../scheduler/task.ts';
import type { Task } from '../scheduler/task.ts';
import { EffectKind } from '../types/effects.ts';
import type { UsageRecord } from '../types/messages.ts';
import { PeerMessageKind } from '../types/messages.ts';
import { recordKey } from './keys.ts';
import { copyPeerAddresses, nonDrainingPeers } from './recordPeers.ts';
import { addRecordWaiter, removeRecordWaiter } from './records.ts';

/** Sends a record to its copy holders; false if there are none. */
export function sendCopies(context: CoreContext, record: UsageRecord): boolean {
  const addresses = copyPeerAddresses(context, record.organisationId);
  for (const peerAddress of addresses) {
    context.emit({
      kind: EffectKind.PeerSend,
      peerAddress,
      message: { kind: PeerMessageKind.RecordCopy, record },
    });
  }
  return addresses.length > 0;
}

/** Incarnations whose copies count as replicas: a process that has ended or drains loses its copies. */
function copyHolderIncarnations(context: CoreContext): ReadonlySet<string> {
  return new Set(nonDrainingPeers(context).map((peer) => peer.sender.incarnationId));
}

/** True if a peer holds the record's current state, or if the record is resolved and needs no copy. */
export function isReplicated(
  context: CoreContext,
  key: string,
  holders: ReadonlySet<string> = copyHolderIncarnations(context),
): boolean {
  const { money } = context.board;
  const acknowledged = [...(money.acknowledgedBy.get(key) ?? [])];
  return !money.ownRecords.has(key) || acknowledged.some((incarnationId) => holders.has(incarnationId));
}

/** Waits until the record is replicated or resolved, or until the deadline. */
export function* waitUntilReplicated(
  context: CoreContext,
  record: UsageRecord,
  deadlineMs: number,
): Task<void> {
  const key = recordKey(record);
  const channel = addRecordWaiter(context, key);
  try {
    while (!isReplicated(context, key) && context.clock.monotonicMs < deadlineMs) {
      yield* receive(channel, deadlineMs);
    }
  } finally {
    removeRecordWaiter(context, key, channel);
  }
}

/** Resends all owned records that are not replicated. */
export function resendCopies(context: CoreContext): void {
  const holders = copyHolderIncarnations(context);
  for (const [key, record] of context.board.money.ownRecords) {
    if (!isReplicated(context, key, holders)) {
      sendCopies(context, record);
    }
  }
}
