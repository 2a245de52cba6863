import { IncarnationStatus } from '../blackboard.ts';
import type { CoreContext } from '../context.ts';
import { logInfo, logWarn } from '../log.ts';
import type { Task } from '../scheduler/task.ts';
import { receive, sleepUntil } from '../scheduler/task.ts';
import { commitTransaction, readRows } from '../table/tableCalls.ts';
import { ABSENT_ROW_VERSION, TableOutcomeKind } from '../types/table.ts';
import { routerKey } from './keys.ts';
import type { RouterRow } from './rows.ts';
import { decodeRouter, encodeRow, RouterRowState } from './rows.ts';

function newRouterRow(context: CoreContext): RouterRow {
  const { routerId, vmId, region, availabilityZone } = context.board.identity;
  return {
    routerId,
    vmId,
    region,
    availabilityZone,
    state: RouterRowState.Active,
    fencedAtMs: 0,
    fencedBy: '',
  };
}

/** Writes the router row at start, and confirms the incarnation after each pause. */
export function* routerRowController(context: CoreContext): Task<void> {
  const { money } = context.board;
  // A router that peers cannot hear may be fenced while it runs; it must notice before its share is reclaimed.
  const checkIntervalMs = context.options.fenceWaitMs / 2;
  for (;;) {
    const registered = money.registeredIncarnationId === context.board.incarnationId;
    if (!registered || context.board.incarnationStatus === IncarnationStatus.Unconfirmed) {
      const done = yield* confirmOnce(context);
      if (!done) {
        yield* sleepUntil(context.clock.monotonicMs + context.options.shareCheckIntervalMs);
      }
      continue;
    }
    yield* receive(money.confirmRequests, context.clock.monotonicMs + checkIntervalMs);
    yield* confirmOnce(context);
  }
}

/** Reads the router row and acts on it; false if the store did not settle the matter. */
function* confirmOnce(context: CoreContext): Task<boolean> {
  const { board } = context;
  const { pauseCount } = board.money;
  const key = routerKey(board.incarnationId);
  const rows = yield* readRows(context, [key]);
  if (rows === undefined) {
    return false;
  }
  const row = decodeRouter(rows.get(key)?.value);
  if (row === undefined && board.money.registeredIncarnationId !== board.incarnationId) {
    return yield* writeRow(context, key);
  }
  if (row?.state !== RouterRowState.Active) {
    takeNewIncarnation(context);
    return true;
  }
  board.money.registeredIncarnationId = board.incarnationId;
  if (board.money.pauseCount === pauseCount) {
    board.incarnationStatus = IncarnationStatus.Confirmed;
  }
  return true;
}

/** True also after a conflict: the next read shows the row that a lost answer hid. */
function* writeRow(context: CoreContext, key: string): Task<boolean> {
  const outcome = yield* commitTransaction(context, {
    checks: [{ key, expectedVersion: ABSENT_ROW_VERSION }],
    writes: [{ key, value: encodeRow(newRouterRow(context)) }],
  });
  if (outcome.kind === TableOutcomeKind.Unknown) {
    return false;
  }
  logInfo(context, 'The router row is written.', { incarnationId: context.board.incarnationId });
  return true;
}

/**
 * Starts again as a new incarnation with empty shares. Open records keep the old incarnation's identity: their
 * money was settled, held back or returned by the reclaim.
 */
function takeNewIncarnation(context: CoreContext): void {
  const { board } = context;
  const fencedIncarnationId = board.incarnationId;
  board.incarnationId = context.newId();
  board.money.ownIncarnationIds.add(board.incarnationId);
  board.money.shares.clear();
  logWarn(context, 'This incarnation was fenced; the router goes on as a new one with empty shares.', {
    fencedIncarnationId,
    incarnationId: board.incarnationId,
  });
}
