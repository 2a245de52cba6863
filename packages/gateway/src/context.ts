import type { RandomSource } from '@pimentostall/core';
import type { GatewayBlackboard } from './blackboard.ts';
import type { PeerPort } from './money/lending.ts';
import type { LedgerStore } from './money/types.ts';
import type { Log } from './observability/log.ts';
import type { GatewayMetrics } from './observability/metrics.ts';
import type { GatewayOptions } from './options.ts';
import type { RouterLocation } from './placement/chooseUpstream.ts';
import type { SuspectPort } from './quarantine/types.ts';
import type { UpstreamPort } from './requests/ports.ts';
import type { TaskLoop } from './runtime/taskLoop.ts';
import type { RouterEntry } from './types.ts';

/** Dependencies and shared state that are passed to every controller. */
export interface GatewayContext {
  readonly board: GatewayBlackboard;
  readonly loop: TaskLoop;
  readonly options: GatewayOptions;
  /** Registry entry of this router. */
  readonly self: RouterEntry;
  readonly ledgerStore: LedgerStore;
  readonly peerPort: PeerPort;
  readonly suspectPort: SuspectPort;
  readonly upstreamPort: UpstreamPort;
  readonly log: Log;
  readonly metrics: GatewayMetrics;
  readonly random: RandomSource;
  readonly location: RouterLocation;
  /** Upper bound of the routers that share a fleet-wide limit, including those that may be added. */
  maxRouterCount(): number;
}
