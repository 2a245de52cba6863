import type { CoreContext } from '../context.ts';
import { Channel } from '../scheduler/channel.ts';
import type { UsageRecord } from '../types/messages.ts';
import { PeerMessageKind } from '../types/messages.ts';
import { EffectKind } from '../types/effects.ts';
import { liveRegionPeers } from '../membership/livePeers.ts';
import { recordKey } from './keys.ts';
import { copyPeerAddresses } from './recordPeers.ts';
import { getOrCreateShare, wakeWaiters } from './shares.ts';

/** Stores a new state of an owned record and discards the acknowledgements of its previous state. */
export function putOwnRecord(context: CoreContext, record: UsageRecord): void {
  const { money } = context.board;
  const key = recordKey(record);
  money.ownRecords.set(key, record);
  money.acknowledgedBy.set(key, new Set());
}

/** Adjusts the committed amount of a record's share; records of earlier incarnations have no share here. */
export function adjustCommitted(
  context: CoreContext,
  record: Pick<UsageRecord, 'incarnationId' | 'organisationId'>,
  differenceMicros: number,
): void {
  if (record.incarnationId !== context.board.incarnationId) {
    return;
  }
  getOrCreateShare(context, record.organisationId).committedMicros += differenceMicros;
  if (differenceMicros < 0) {
    wakeWaiters(context, record.organisationId);
  }
}

/** Removes settled or released records, owned ones and copies, and tells peers to drop their copies. */
export function resolveRecords(context: CoreContext, keys: readonly string[]): void {
  const keysByPeer = new Map<string, string[]>();
  for (const key of keys) {
    for (const peerAddress of copyHolderAddresses(context, key)) {
      keysByPeer.set(peerAddress, [...(keysByPeer.get(peerAddress) ?? []), key]);
    }
    dropOwnRecord(context, key);
    dropCopy(context, key);
    wakeRecordWaiters(context, key);
  }
  for (const [peerAddress, requestIds] of keysByPeer) {
    const message = { kind: PeerMessageKind.RecordResolved, requestIds } as const;
    context.emit({ kind: EffectKind.PeerSend, peerAddress, message });
  }
}

/**
 * Peers that may hold a copy. The holders of an owned record are known, and a missed holder asks the owner later. The
 * other holders of a dead owner's record are unknown, so all peers are included.
 */
function copyHolderAddresses(context: CoreContext, key: string): string[] {
  const { ownRecords, acknowledgedBy } = context.board.money;
  const record = ownRecords.get(key);
  const peers = liveRegionPeers(context);
  if (record === undefined) {
    return peers.map((peer) => peer.sender.peerAddress);
  }
  const acknowledged = acknowledgedBy.get(key);
  const holders = peers.filter((peer) => acknowledged?.has(peer.sender.incarnationId) === true);
  const chosen = copyPeerAddresses(context, record.organisationId);
  return [...new Set([...chosen, ...holders.map((peer) => peer.sender.peerAddress)])];
}

export function dropCopy(context: CoreContext, key: string): void {
  const { money } = context.board;
  money.copies.delete(key);
  money.orphanKeys.delete(key);
  money.resolvedAtMs.set(key, context.clock.monotonicMs);
}

function dropOwnRecord(context: CoreContext, key: string): void {
  const { money } = context.board;
  const record = money.ownRecords.get(key);
  money.acknowledgedBy.delete(key);
  if (record !== undefined) {
    money.ownRecords.delete(key);
    adjustCommitted(context, record, -record.amountMicros);
  }
}

export function wakeRecordWaiters(context: CoreContext, key: string): void {
  for (const channel of context.board.money.recordWaiters.get(key) ?? []) {
    channel.push(undefined);
  }
}

/** Returns a new channel that receives an item whenever the record is acknowledged or resolved. */
export function addRecordWaiter(context: CoreContext, key: string): Channel<undefined> {
  const { recordWaiters } = context.board.money;
  const waiters = recordWaiters.get(key) ?? new Set();
  const channel = new Channel<undefined>();
  recordWaiters.set(key, waiters.add(channel));
  return channel;
}

export function removeRecordWaiter(context: CoreContext, key: string, channel: Channel<undefined>): void {
  const { recordWaiters } = context.board.money;
  const waiters = recordWaiters.get(key);
  waiters?.delete(channel);
  if (waiters?.size === 0) {
    recordWaiters.delete(key);
  }
}
