import type { LedgerAccount } from './money/ledgerController.ts';
import type { PreviousIncarnation } from './money/liveness.ts';
import type { UpstreamView } from './placement/upstreamView.ts';
import type { RetryBudget } from './retries/retryBudget.ts';
import type { RouteTable } from './routing/routeTable.ts';
import type { GatewayConfiguration, RouterEntry } from './types.ts';

/** What the platform's register shows of the other routers, with the time at which each row last changed here. */
export interface RouterView {
  readonly entry: RouterEntry;
  readonly changedAtMs: number;
}

/** State that more than one controller needs. Each section is written by the module that defines its type. */
export interface GatewayBlackboard {
  configuration: GatewayConfiguration | undefined;
  routeTable: RouteTable | undefined;
  /** Organisation name by key. */
  organisationByKey: ReadonlyMap<string, string>;
  /** Known upstreams by id, ready or not. */
  readonly upstreams: Map<string, UpstreamView>;
  readonly routers: Map<string, RouterView>;
  readonly accounts: Map<string, LedgerAccount>;
  readonly retryBudgets: Map<string, RetryBudget>;
  /** True from the stop signal on. */
  draining: boolean;
  drainStartedAtMs: number;
  /** Ends the controllers. */
  stopped: boolean;
  /** How the previous life of this router ended; set before the first account is opened. */
  previousIncarnation: PreviousIncarnation;
  /** Monotonic time of the newest liveness record that the store may hold. */
  newestLivenessRecordAtMs: number;
  /** True once a stopping router only gives its shares back. */
  returningShares: boolean;
  /** Requests that are read and not answered. */
  openRequests: number;
  /** Monotonic time of the last reply of the store; undefined before the first. */
  storeLastReplyAtMs: number | undefined;
  /** Monotonic time at which the store last answered after an outage; undefined before the first outage. */
  storeRecoveredAtMs: number | undefined;
}

export function createBlackboard(): GatewayBlackboard {
  return {
    configuration: undefined,
    routeTable: undefined,
    organisationByKey: new Map(),
    upstreams: new Map(),
    routers: new Map(),
    accounts: new Map(),
    retryBudgets: new Map(),
    draining: false,
    drainStartedAtMs: Infinity,
    stopped: false,
    previousIncarnation: { record: undefined, endedBeforeStoreMs: 0 },
    newestLivenessRecordAtMs: Infinity,
    returningShares: false,
    openRequests: 0,
    storeLastReplyAtMs: undefined,
    storeRecoveredAtMs: undefined,
  };
}
