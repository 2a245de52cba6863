import type { CoreContext } from '../context.ts';
import { liveRegionPeers } from '../membership/livePeers.ts';
import { receive } from '../scheduler/task.ts';
import type { Task } from '../scheduler/task.ts';
import { EffectKind } from '../types/effects.ts';
import type { UsageRecord } from '../types/messages.ts';
import { PeerMessageKind } from '../types/messages.ts';
import { recordKey } from './keys.ts';
import { addRecordWaiter, removeRecordWaiter } from './records.ts';

/** Peers that hold copies: other availability zones first, because a zone fails as a whole. */
export function copyPeerAddresses(context: CoreContext): string[] {
  const { identity } = context.board;
  const peers = liveRegionPeers(context);
  const elsewhere = peers.filter((peer) => peer.sender.availabilityZone !== identity.availabilityZone);
  const here = peers.filter((peer) => peer.sender.availabilityZone === identity.availabilityZone);
  return [...elsewhere, ...here].slice(0, context.options.copyCount).map((peer) => peer.sender.peerAddress);
}

/** Sends a record to its copy holders; false if no peer is known. */
export function sendCopies(context: CoreContext, record: UsageRecord): boolean {
  const addresses = copyPeerAddresses(context);
  for (const peerAddress of addresses) {
    context.emit({
      kind: EffectKind.PeerSend,
      peerAddress,
      message: { kind: PeerMessageKind.RecordCopy, record },
    });
  }
  return addresses.length > 0;
}

/** True once a peer holds the record's current state or the record needs no copy any more. */
export function isSafe(context: CoreContext, key: string): boolean {
  const { money } = context.board;
  return !money.ownRecords.has(key) || (money.acknowledgedBy.get(key)?.size ?? 0) > 0;
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

/** Sends the records again whose copies no peer has acknowledged. */
export function resendCopies(context: CoreContext): void {
  for (const [key, record] of context.board.money.ownRecords) {
    if (!isSafe(context, key)) {
      sendCopies(context, record);
    }
  }
}
