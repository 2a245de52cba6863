import type { CoreContext } from '../context.ts';
import type { Task } from '../scheduler/task.ts';
import { sleepUntil } from '../scheduler/task.ts';
import { readRows } from '../table/tableCalls.ts';
import { RouterState } from '../types/messages.ts';
import { objectValue, stringField } from './storedRows.ts';

const CHECK_INTERVAL_MS = 250;
const ACTIVE_STATE = 'active';

/** Unreachable engines must not keep a router from starting. */
const MAX_PROBE_WAIT_MS = 2_000;

/**
 * Makes a starting router Live once a configuration is in force, its router row is found Active and the engines
 * have reported. The row is written by the money controllers; without it nobody could fence the router, so it may
 * not take requests. Without reports it would send work to engines that are leaving.
 */
export function* liveStateController(context: CoreContext): Task<void> {
  let configuredAtMs: number | undefined;
  while (context.board.routerState === RouterState.Starting) {
    if (context.board.configuration !== undefined) {
      configuredAtMs ??= context.clock.monotonicMs;
      if (enginesReported(context, configuredAtMs) && (yield* isRowActive(context))) {
        becomeLive(context);
        return;
      }
    }
    yield* sleepUntil(context.clock.monotonicMs + CHECK_INTERVAL_MS);
  }
}

/** Engines are probed in turns, so a large fleet is waited for no longer than a small one with a dead engine. */
function enginesReported(context: CoreContext, configuredAtMs: number): boolean {
  const engines = context.board.configuration?.document.engines ?? [];
  const { upstreams } = context.board.routing;
  const complete = engines.every(({ address }) => upstreams.get(address)?.load !== undefined);
  return complete || context.clock.monotonicMs - configuredAtMs >= MAX_PROBE_WAIT_MS;
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
