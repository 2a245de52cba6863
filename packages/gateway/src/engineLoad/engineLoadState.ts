import { Channel } from '@pimentostall/core';
import type { GatewayContext } from '../context.ts';
import type { UpstreamView } from '../placement/upstreamView.ts';
import type { EngineLoads } from './loadSums.ts';
import { LoadSums, MAX_ENGINES } from './loadSums.ts';
import { DEFAULT_ENGINE_LOAD } from './options.ts';

/** Loads of engines: this router's own, and those that it collects. */
export interface EngineLoadState {
  /** Wakes the exchange after a change. */
  readonly wakes: Channel<true>;
  /** Engines at which this router has requests in flight. */
  readonly busyViews: Set<UpstreamView>;
  /** Changes of the pending prompt tokens since the last post, without their sign. */
  unpostedTokens: number;
  /** True if any count has changed since the last post. */
  hasUnposted: boolean;
  /** True while this router collects the loads of others, and reports its own with theirs. */
  isCollector: boolean;
  /** Loads of the routers that post to this one, by router id. */
  readonly collected: LoadSums;
  /** Sums of the other collectors, by router id. */
  readonly exchanged: LoadSums;
  /** Times at which the sums of other collectors last arrived, by router id. */
  readonly exchangedAtMs: Map<string, number>;
}

export function createEngineLoadState(expiryMs = DEFAULT_ENGINE_LOAD.expiryMs): EngineLoadState {
  return {
    wakes: new Channel(),
    busyViews: new Set(),
    unpostedTokens: 0,
    hasUnposted: false,
    isCollector: false,
    collected: new LoadSums(expiryMs),
    exchanged: new LoadSums(expiryMs),
    exchangedAtMs: new Map(),
  };
}

export type EngineLoadContext = Pick<
  GatewayContext,
  'board' | 'log' | 'loop' | 'metrics' | 'options' | 'self'
>;

/** Whether loads are shared: in a large fleet whose configuration has model engines. */
export function isSharingLoads({ board }: Pick<GatewayContext, 'board'>): boolean {
  if (!board.routers.isLargeFleet || board.configuration === undefined) {
    return false;
  }
  for (const { engine } of board.configuration.services.values()) {
    if (engine !== undefined) {
      return true;
    }
  }
  return false;
}

/**
 * Records that the counts of an engine have changed.
 *
 * @param changedTokens change of its pending prompt tokens, without the sign
 */
export function recordLoadChange(
  { board, loop }: Pick<EngineLoadContext, 'board' | 'loop'>,
  view: UpstreamView,
  changedTokens: number,
): void {
  const { engineLoad } = board;
  if (view.inFlight > 0) {
    engineLoad.busyViews.add(view);
  } else {
    engineLoad.busyViews.delete(view);
  }
  engineLoad.unpostedTokens += changedTokens;
  engineLoad.hasUnposted = true;
  if (board.routers.isLargeFleet && engineLoad.wakes.size === 0) {
    loop.push(engineLoad.wakes, true);
  }
}

/** The loads that this router has put on engines itself. */
export function ownLoads({ busyViews }: EngineLoadState): EngineLoads {
  const loads: number[] = [];
  let count = 0;
  for (const { inFlight, loadKey, pendingPrefillTokens } of busyViews) {
    count += 1;
    if (count <= MAX_ENGINES) {
      loads.push(loadKey, Math.max(0, Math.round(pendingPrefillTokens)), inFlight);
    }
  }
  return loads;
}
