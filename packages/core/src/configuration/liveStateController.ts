import type { CoreContext } from '../context.ts';
import type { Task } from '../scheduler/task.ts';
import { sleepUntil } from '../scheduler/task.ts';
import { readRows } from '../table/tableCalls.ts';
import { RouterState } from '../types/messages.ts';
import { objectValue, stringField } from './storedRows.ts';

const STATE_CHECK_INTERVAL_MS = 250;
const ACTIVE_STATE = 'active';

/** Maximum wait for load reports, so that unreachable engines do not prevent a router from starting. */
const MAX_PROBE_WAIT_MS = 2_000;

/**
 * Makes a starting router Live once a configuration is active, its router row is Active in the table and its engines
 * have sent load reports. The money controllers write the row; without it no peer could fence the router, so it must
 * not accept requests. Without load reports, the router would send requests to engines that are shutting down.
 */
export function* liveStateController(context: CoreContext): Task<void> {
  let configuredAtMs: number | undefined;
  while (context.board.routerState === RouterState.Starting) {
    if (context.board.configuration !== undefined) {
      configuredAtMs ??= context.clock.monotonicMs;
      if (haveEnginesReported(context, configuredAtMs) && (yield* isRouterRowActive(context))) {
        becomeLive(context);
        return;
      }
    }
    yield* sleepUntil(context.clock.monotonicMs + STATE_CHECK_INTERVAL_MS);
  }
}

/**
 * Whether all engines have sent load reports or the wait is over. Engines are probed in batches, so a large fleet
 * takes several intervals, but never longer than a small fleet with an engine that does not report.
 */
function haveEnginesReported(context: CoreContext, configuredAtMs: number): boolean {
  const engines = context.board.configuration?.document.engines ?? [];
  const { upstreams } = context.board.routing;
  const allReported = engines.every(({ address }) => upstreams.get(address)?.load !== undefined);
  return allReported || context.clock.monotonicMs - configuredAtMs >= MAX_PROBE_WAIT_MS;
}

function* isRouterRowActive(context: CoreContext): Task<boolean> {
  const key = `router/${context.board.incarnationId}`;
  const rows = yield* readRows(context, [key]);
  return stringField(objectValue(rows?.get(key)), 'state')?.toLowerCase() === ACTIVE_STATE;
}

/** The router may have started draining while the row was read, so only a starting router becomes Live. */
function becomeLive(context: CoreContext): void {
  if (context.board.routerState === RouterState.Starting) {
    context.board.routerState = RouterState.Live;
  }
}
