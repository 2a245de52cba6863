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

function buildRouterRow(context: CoreContext): RouterRow {
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

/** Writes the router row at startup and confirms the incarnation at an interval and after each pause. */
export function* routerRowController(context: CoreContext): Task<void> {
  const { money } = context.board;
  // A router that its peers cannot hear may be fenced while it runs; it must notice before its shares are reclaimed.
  const checkIntervalMs = context.options.fenceWaitMs / 2;
  for (;;) {
    const registered = money.registeredIncarnationId === context.board.incarnationId;
    if (!registered || context.board.incarnationStatus === IncarnationStatus.Unconfirmed) {
      const confirmed = yield* confirmIncarnation(context);
      if (!confirmed) {
        yield* sleepUntil(context.clock.monotonicMs + context.options.shareCheckIntervalMs);
      }
      continue;
    }
    yield* receive(money.confirmRequests, context.clock.monotonicMs + checkIntervalMs);
    yield* confirmIncarnation(context);
  }
}

/** Confirms or replaces the incarnation according to its router row; false if the store gave no clear answer. */
function* confirmIncarnation(context: CoreContext): Task<boolean> {
  const { board } = context;
  const { pauseCount } = board.money;
  const key = routerKey(board.incarnationId);
  const rows = yield* readRows(context, [key]);
  if (rows === undefined) {
    return false;
  }
  const row = decodeRouter(rows.get(key)?.value);
  if (row === undefined && board.money.registeredIncarnationId !== board.incarnationId) {
    return yield* createRouterRow(context, key);
  }
  if (row?.state !== RouterRowState.Active) {
    startNewIncarnation(context);
    return true;
  }
  board.money.registeredIncarnationId = board.incarnationId;
  if (board.money.pauseCount === pauseCount) {
    board.incarnationStatus = IncarnationStatus.Confirmed;
  }
  return true;
}

/** True also after a conflict: an earlier write whose answer was lost shows up in the next read. */
function* createRouterRow(context: CoreContext, key: string): Task<boolean> {
  const outcome = yield* commitTransaction(context, {
    checks: [{ key, expectedVersion: ABSENT_ROW_VERSION }],
    writes: [{ key, value: encodeRow(buildRouterRow(context)) }],
  });
  if (outcome.kind === TableOutcomeKind.Unknown) {
    return false;
  }
  logInfo(context, 'The router row was written.', { incarnationId: context.board.incarnationId });
  return true;
}

/**
 * Switches to a new incarnation with empty shares. Open records keep the identity of the old incarnation, because
 * the reclaim settled, held back or returned their amounts.
 */
function startNewIncarnation(context: CoreContext): void {
  const { board } = context;
  const fencedIncarnationId = board.incarnationId;
  board.incarnationId = context.newId();
  board.money.ownIncarnationIds.add(board.incarnationId);
  board.money.shares.clear();
  logWarn(
    context,
    'The incarnation was fenced; the router continues as a new incarnation with empty shares.',
    {
      fencedIncarnationId,
      incarnationId: board.incarnationId,
    },
  );
}
