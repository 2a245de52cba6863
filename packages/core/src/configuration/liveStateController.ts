import type { CoreContext } from '../context.ts';
import type { Task } from '../scheduler/task.ts';
import { sleepUntil } from '../scheduler/task.ts';
import { readRows } from '../table/callTable.ts';
import { RouterState } from '../types/messages.ts';
import { objectValue, stringField } from './storedRows.ts';

const CHECK_INTERVAL_MS = 500;
const ACTIVE_STATE = 'active';

/**
 * Makes a starting router Live once a configuration is in force and its router row is found Active. The row is
 * written by the money controllers; without it nobody could fence the router, so it may not take requests.
 */
export function* liveStateController(context: CoreContext): Task<void> {
  while (context.board.routerState === RouterState.Starting) {
    if (context.board.configuration !== undefined && (yield* isRowActive(context))) {
      becomeLive(context);
      return;
    }
    yield* sleepUntil(context.clock.monotonicMs + CHECK_INTERVAL_MS);
  }
}

function* isRowActive(context: CoreContext): Task<boolean> {
  const key = `router/${context.board.incarnationId}`;
  const rows = yield* readRows(context, [key]);
  return stringField(objectValue(rows?.get(key)), 'state')?.toLowerCase() === ACTIVE_STATE;
}

/** A stop may have arrived while the row was read; a draining router stays so. */
function becomeLive(context: CoreContext): void {
  if (context.board.routerState === RouterState.Starting) {
    context.board.routerState = RouterState.Live;
  }
}
