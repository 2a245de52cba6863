import { IncarnationStatus } from '../blackboard.ts';
import type { CoreContext } from '../context.ts';
import { rendezvousOrder } from '../hash.ts';
import { liveRegionPeers } from '../membership/livePeers.ts';
import type { Task } from '../scheduler/task.ts';
import { sleepUntil } from '../scheduler/task.ts';
import { scanRows } from '../table/tableCalls.ts';
import { collectOpenRecords } from './collectOpenRecords.ts';
import { ROUTER_PREFIX } from './keys.ts';
import { heardAtMs } from './orphanController.ts';
import { reclaim } from './reclaim.ts';
import type { RouterRow } from './rows.ts';
import { decodeRouter, RouterRowState } from './rows.ts';

/** Share checks per look at the router rows: a scan of all rows costs more than a read. */
const CHECK_INTERVALS = 5;

/** Looks for dead incarnations of the own region. One router of the region does so, to spare the table scans. */
export function* reclaimController(context: CoreContext): Task<void> {
  for (;;) {
    yield* sleepUntil(context.clock.monotonicMs + CHECK_INTERVALS * context.options.shareCheckIntervalMs);
    if (mayReclaim(context)) {
      yield* checkRouters(context);
    }
  }
}

function mayReclaim(context: CoreContext): boolean {
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
    const mine = incarnationId === context.board.incarnationId;
    const inRegion = row?.region === context.board.identity.region;
    if (row !== undefined && inRegion && !mine && !context.board.money.reclaiming.has(incarnationId)) {
      yield* judge(context, incarnationId, row);
    }
  }
}

function* judge(context: CoreContext, incarnationId: string, row: RouterRow): Task<void> {
  switch (row.state) {
    case RouterRowState.Gone:
      return;
    case RouterRowState.Fenced:
      // Its reclaimer may have died; the steps of a reclaim can be repeated.
      context.spawn('reclaim', reclaim(context, incarnationId));
      return;
    case RouterRowState.Active:
      if (isSuspect(context, incarnationId, row)) {
        yield* reclaimIfUnheard(context, incarnationId);
      }
  }
}

/** True once the incarnation has looked dead to this router for the whole grace time. */
function isSuspect(context: CoreContext, incarnationId: string, row: RouterRow): boolean {
  const { suspectSinceMs } = context.board.money;
  const { monotonicMs } = context.clock;
  const graceMs = context.options.reclaimGraceMs;
  const heardMs = heardAtMs(context, incarnationId);
  const silent = heardMs === undefined || monotonicMs - heardMs >= graceMs;
  if (!silent || !(isUnlisted(context, row) || hasSuccessor(context, incarnationId, row))) {
    suspectSinceMs.delete(incarnationId);
    return false;
  }
  const sinceMs = suspectSinceMs.get(incarnationId) ?? monotonicMs;
  suspectSinceMs.set(incarnationId, sinceMs);
  // A heartbeat that was heard once dates the silence by itself; else this router's own watch does.
  const awake = monotonicMs - context.board.money.pausedAtMs >= graceMs;
  return (heardMs !== undefined && awake) || monotonicMs - sinceMs >= graceMs;
}

/** An old list proves nothing, so it must have been read within the grace time. */
function isUnlisted(context: CoreContext, row: RouterRow): boolean {
  const { listReadAtMs, vms } = context.board.membership;
  const fresh =
    listReadAtMs !== undefined && context.clock.monotonicMs - listReadAtMs < context.options.reclaimGraceMs;
  return fresh && !vms.has(row.vmId);
}

/** The same router is heard under another incarnation: the process was restarted, or was fenced and went on. */
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

/** Peers that hear the incarnation do not answer, so a complete answer means silence towards all of them. */
function* reclaimIfUnheard(context: CoreContext, incarnationId: string): Task<void> {
  const { pauseCount } = context.board.money;
  const { complete } = yield* collectOpenRecords(context, incarnationId);
  if (complete && context.board.money.pauseCount === pauseCount) {
    context.spawn('reclaim', reclaim(context, incarnationId));
  }
}
