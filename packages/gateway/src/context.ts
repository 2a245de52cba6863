import type { RandomSource } from '@pimentostall/core';
import type { GatewayBlackboard } from './blackboard.ts';
import type { PeerPort } from './money/lending.ts';
import type { LedgerStore } from './money/types.ts';
import type { Log } from './observability/log.ts';
import type { GatewayMetrics } from './observability/metrics.ts';
import type { GatewayOptions } from './options.ts';
import type { RouterLocation } from './placement/chooseUpstream.ts';
import type { UpstreamPort } from './requests/ports.ts';
import type { TaskLoop } from './runtime/taskLoop.ts';
import type { RouterEntry } from './types.ts';

/** What a controller may use. */
export interface GatewayContext {
  readonly board: GatewayBlackboard;
  readonly loop: TaskLoop;
  readonly options: GatewayOptions;
  /** This router. */
  readonly self: RouterEntry;
  readonly ledgerStore: LedgerStore;
  readonly peerPort: PeerPort;
  readonly upstreamPort: UpstreamPort;
  readonly log: Log;
  readonly metrics: GatewayMetrics;
  readonly random: RandomSource;
  readonly location: RouterLocation;
  /** Routers that may share a fleet-wide limit now, with those that may be added. */
  maxRouterCount(): number;
}
