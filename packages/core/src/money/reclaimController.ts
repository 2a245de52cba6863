import { IncarnationStatus } from '../blackboard.ts';
import type { CoreContext } from '../context.ts';
import { rendezvousOrder } from '../hash.ts';
import { liveRegionPeers } from '../membership/livePeers.ts';
import type { Task } from '../scheduler/task.ts';
import { sleepUntil } from '../scheduler/task.ts';
import { scanRows } from '../table/tableCalls.ts';
import { collectOpenRecords } from './collectOpenRecords.ts';
import { ROUTER_PREFIX } from './keys.ts';
import { lastHeartbeatMs } from './orphanController.ts';
import { reclaim } from './reclaim.ts';
import type { RouterRow } from './rows.ts';
import { decodeRouter, RouterRowState } from './rows.ts';

/** Share check intervals between scans of the router rows: a scan costs more than a read. */
const SHARE_CHECKS_PER_SCAN = 5;

/** Detects dead incarnations of this region. Only one router of the region does so, to save table scans. */
export function* reclaimController(context: CoreContext): Task<void> {
  for (;;) {
    yield* sleepUntil(
      context.clock.monotonicMs + SHARE_CHECKS_PER_SCAN * context.options.shareCheckIntervalMs,
    );
    if (isReclaimer(context)) {
      yield* checkRouters(context);
    }
  }
}

function isReclaimer(context: CoreContext): boolean {
  const { board } = context;
  const addresses = liveRegionPeers(context).map((peer) => peer.sender.peerAddress);
  const [first] = rendezvousOrder('reclaim', [...addresses, board.identity.peerAddress]);
  return (
    first === board.identity.peerAddress &&
    board.incarnationStatus === IncarnationStatus.Confirmed &&
    board.money.registeredIncarnationId === board.incarnationId &&
    !board.money.returning
  );
}

function* checkRouters(context: CoreContext): Task<void> {
  const rows = yield* scanRows(context, ROUTER_PREFIX);
  for (const [key, { value }] of rows ?? []) {
    const incarnationId = key.slice(ROUTER_PREFIX.length);
    const row = decodeRouter(value);
    const isOwn = incarnationId === context.board.incarnationId;
    const inRegion = row?.region === context.board.identity.region;
    if (row !== undefined && inRegion && !isOwn && !context.board.money.reclaiming.has(incarnationId)) {
      yield* checkRouter(context, incarnationId, row);
    }
  }
}

function* checkRouter(context: CoreContext, incarnationId: string, row: RouterRow): Task<void> {
  switch (row.state) {
    case RouterRowState.Gone:
      return;
    case RouterRowState.Fenced:
      // The reclaiming router may have died; the steps of a reclaim are idempotent.
      context.spawn('reclaim', reclaim(context, incarnationId));
      return;
    case RouterRowState.Active:
      if (isSuspect(context, incarnationId, row)) {
        yield* reclaimIfSilent(context, incarnationId);
      }
  }
}

/** True once this router has suspected the incarnation dead for the whole grace time. */
function isSuspect(context: CoreContext, incarnationId: string, row: RouterRow): boolean {
  const { suspectSinceMs } = context.board.money;
  const { monotonicMs } = context.clock;
  const graceMs = context.options.reclaimGraceMs;
  const heardMs = lastHeartbeatMs(context, incarnationId);
  const silent = heardMs === undefined || monotonicMs - heardMs >= graceMs;
  if (!silent || !(isUnlisted(context, row) || hasSuccessor(context, incarnationId, row))) {
    suspectSinceMs.delete(incarnationId);
    return false;
  }
  const sinceMs = suspectSinceMs.get(incarnationId) ?? monotonicMs;
  suspectSinceMs.set(incarnationId, sinceMs);
  // The silence is measured from the last heartbeat if there was one and this router was not paused within the grace
  // time, otherwise from the first suspicion.
  const notRecentlyPaused = monotonicMs - context.board.money.pausedAtMs >= graceMs;
  return (heardMs !== undefined && notRecentlyPaused) || monotonicMs - sinceMs >= graceMs;
}

/** True if a membership list read within the grace time lacks the VM; an older list is no evidence. */
function isUnlisted(context: CoreContext, row: RouterRow): boolean {
  const { listReadAtMs, vms } = context.board.membership;
  const isListFresh =
    listReadAtMs !== undefined && context.clock.monotonicMs - listReadAtMs < context.options.reclaimGraceMs;
  return isListFresh && !vms.has(row.vmId);
}

/** True if the router now runs under another incarnation, after a restart or after it was fenced. */
function hasSuccessor(context: CoreContext, incarnationId: string, row: RouterRow): boolean {
  const { identity, membership } = context.board;
  const heard = [...membership.peers.values()].some(
    ({ sender, heardAtMs: heardMs }) =>
      sender.routerId === row.routerId &&
      sender.incarnationId !== incarnationId &&
      context.clock.monotonicMs - heardMs < context.options.reclaimGraceMs,
  );
  return heard || identity.routerId === row.routerId;
}

/** Peers that hear the incarnation do not answer, so a complete set of replies means that no peer hears it. */
function* reclaimIfSilent(context: CoreContext, incarnationId: string): Task<void> {
  const { pauseCount } = context.board.money;
  const { complete } = yield* collectOpenRecords(context, incarnationId);
  if (complete && context.board.money.pauseCount === pauseCount) {
    context.spawn('reclaim', reclaim(context, incarnationId));
  }
}
