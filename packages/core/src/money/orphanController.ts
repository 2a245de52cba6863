import type { CoreContext } from '../context.ts';
import type { Task } from '../scheduler/task.ts';
import { sleepUntil } from '../scheduler/task.ts';
import { readRows } from '../table/tableCalls.ts';
import { EffectKind } from '../types/effects.ts';
import { PeerMessageKind, RecordState } from '../types/messages.ts';
import { routerKey } from './keys.ts';
import { decodeRouter, RouterRowState } from './rows.ts';
import type { CopiedRecord } from './types.ts';

/** Share check intervals between orphan checks: owners die rarely, so their rows are read less often. */
const SHARE_CHECKS_PER_ORPHAN_CHECK = 5;

/** Finds copies whose owner is fenced, gone or absent, so that this router settles them, and removes stale state. */
export function* orphanController(context: CoreContext): Task<void> {
  for (;;) {
    yield* sleepUntil(
      context.clock.monotonicMs + SHARE_CHECKS_PER_ORPHAN_CHECK * context.options.shareCheckIntervalMs,
    );
    reacknowledgeOldCopies(context);
    pruneResolved(context);
    yield* findOrphans(context);
  }
}

/** Monotonic time of the last heartbeat of an incarnation; undefined if none was received. */
export function lastHeartbeatMs(context: CoreContext, incarnationId: string): number | undefined {
  const peers = [...context.board.membership.peers.values()];
  return peers.find((peer) => peer.sender.incarnationId === incarnationId)?.heardAtMs;
}

function isSilent(context: CoreContext, incarnationId: string, limitMs: number): boolean {
  const heardMs = lastHeartbeatMs(context, incarnationId);
  return heardMs === undefined || context.clock.monotonicMs - heardMs >= limitMs;
}

function* findOrphans(context: CoreContext): Task<void> {
  const { copies } = context.board.money;
  const owners = new Map([...copies.values()].map((copy) => [copy.record.incarnationId, copy]));
  const silent = [...owners].filter(([incarnationId]) =>
    isSilent(context, incarnationId, context.options.peerTimeoutMs),
  );
  if (silent.length === 0) {
    return;
  }
  const rows = yield* readRows(
    context,
    silent.map(([incarnationId]) => routerKey(incarnationId)),
  );
  for (const [incarnationId, copy] of rows === undefined ? [] : silent) {
    const state = decodeRouter(rows?.get(routerKey(incarnationId))?.value)?.state;
    const fenced = state === RouterRowState.Fenced || state === RouterRowState.Gone;
    if (fenced || isOwnerAbsent(context, copy)) {
      markOrphans(context, incarnationId, state === RouterRowState.Gone);
    }
  }
}

/** True if the owner's VM is off the membership list and its incarnation was silent for the grace time. */
function isOwnerAbsent(context: CoreContext, copy: CopiedRecord): boolean {
  const { options, board, clock } = context;
  return (
    board.membership.absentSinceMs.get(copy.ownerVmId) !== undefined &&
    isSilent(context, copy.record.incarnationId, options.reclaimGraceMs) &&
    clock.monotonicMs - copy.receivedAtMs >= options.reclaimGraceMs
  );
}

/** Marks usage copies for settlement. Reservation copies stay as evidence for a retry as long as amounts are held. */
function markOrphans(context: CoreContext, incarnationId: string, gone: boolean): void {
  const { money } = context.board;
  for (const [key, copy] of money.copies) {
    if (copy.record.incarnationId !== incarnationId) {
      continue;
    }
    if (copy.record.state === RecordState.Used) {
      money.orphanKeys.add(key);
    } else if (gone && context.clock.monotonicMs - copy.receivedAtMs >= context.options.heldLimitMs) {
      money.copies.delete(key);
    }
  }
}

/** Acknowledges old copies again; an owner that has resolved the record replies with `RecordResolved`. */
function reacknowledgeOldCopies(context: CoreContext): void {
  for (const [key, copy] of context.board.money.copies) {
    if (context.clock.monotonicMs - copy.receivedAtMs >= context.options.reclaimGraceMs) {
      context.emit({
        kind: EffectKind.PeerSend,
        peerAddress: copy.ownerPeerAddress,
        message: { kind: PeerMessageKind.RecordCopyAck, requestId: key, state: copy.record.state },
      });
    }
  }
}

function pruneResolved(context: CoreContext): void {
  const { resolvedAtMs } = context.board.money;
  for (const [key, atMs] of resolvedAtMs) {
    if (context.clock.monotonicMs - atMs >= context.options.reclaimGraceMs) {
      resolvedAtMs.delete(key);
    }
  }
}
