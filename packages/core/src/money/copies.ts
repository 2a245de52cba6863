import type { CoreContext } from '../context.ts';
import { receive } from '../scheduler/task.ts';
import type { Task } from '../scheduler/task.ts';
import { EffectKind } from '../types/effects.ts';
import type { UsageRecord } from '../types/messages.ts';
import { PeerMessageKind } from '../types/messages.ts';
import { recordKey } from './keys.ts';
import { copyPeerAddresses, stayingPeers } from './recordPeers.ts';
import { addRecordWaiter, removeRecordWaiter } from './records.ts';

/** Sends a record to its copy holders; false if no peer is known. */
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

/** Incarnations whose copies count: an acknowledgement of a process that has ended or drains protects nothing. */
function holderIncarnations(context: CoreContext): ReadonlySet<string> {
  return new Set(stayingPeers(context).map((peer) => peer.sender.incarnationId));
}

/** True while a peer holds the record's current state, or once the record needs no copy any more. */
export function isSafe(
  context: CoreContext,
  key: string,
  holders: ReadonlySet<string> = holderIncarnations(context),
): boolean {
  const { money } = context.board;
  const acknowledged = [...(money.acknowledgedBy.get(key) ?? [])];
  return !money.ownRecords.has(key) || acknowledged.some((incarnationId) => holders.has(incarnationId));
}

/** Waits until the record is safe or the deadline passes. */
export function* waitUntilSafe(context: CoreContext, record: UsageRecord, deadlineMs: number): Task<void> {
  const key = recordKey(record);
  const channel = addRecordWaiter(context, key);
  try {
    while (!isSafe(context, key) && context.clock.monotonicMs < deadlineMs) {
      yield* receive(channel, deadlineMs);
    }
  } finally {
    removeRecordWaiter(context, key, channel);
  }
}

/** Sends the records again of which no peer that stays holds a copy. */
export function resendCopies(context: CoreContext): void {
  const holders = holderIncarnations(context);
  for (const [key, record] of context.board.money.ownRecords) {
    if (!isSafe(context, key, holders)) {
      sendCopies(context, record);
    }
  }
}
