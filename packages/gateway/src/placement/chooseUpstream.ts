import { hash32 } from '@pimentostall/core';
import type { PromptPart } from '../types.ts';
import type { PlacementOptions } from './options.ts';
import type { UpstreamView } from './upstreamView.ts';

export interface PlacementRequest {
  readonly serviceName: string;
  /** Empty for a plain service. */
  readonly promptParts: readonly PromptPart[];
  readonly promptTokens: number;
  /** Upstreams that this request was sent to before. */
  readonly excluded: ReadonlySet<string>;
}

export interface RouterLocation {
  readonly availabilityZone: string;
  readonly region: string;
  regionOf(availabilityZone: string): string | undefined;
}

export interface Placement {
  readonly upstream: UpstreamView;
  /** Expected time before the first token, as far as this router knows. */
  readonly costMs: number;
  /** Prompt tokens that the engine is expected to read. */
  readonly uncachedTokens: number;
}

/** Part of a shared prompt that counts as cached on its first home while that engine's events are unknown. */
const HOME_CACHED_PART = 0.9;

/**
 * Chooses the upstream with the least expected time to the first token. Answers load with long shared prompts: all
 * routers agree on the few engines that hold a shared part by rendezvous hashing, and leave them when waiting there
 * costs more than reading the part again.
 */
export function chooseUpstream(
  request: PlacementRequest,
  upstreams: Iterable<UpstreamView>,
  location: RouterLocation,
  nowMs: number,
  options: PlacementOptions,
): Placement | undefined {
  const usable = [...upstreams].filter(({ entry }) => entry.serviceName === request.serviceName);
  const healthy = usable.filter(
    (upstream) => upstream.isUsable(nowMs) && !request.excluded.has(upstream.entry.upstreamId),
  );
  const homes = homeEngines(request.promptParts, usable, options.homesPerPart);
  let best: Placement | undefined;
  for (const upstream of healthy) {
    const placement = assess(request, upstream, homes, location, nowMs, options);
    if (best === undefined || placement.costMs < best.costMs) {
      best = placement;
    }
  }
  return best;
}

/** Ids of the engines that hold the deepest shared part, most likely first. */
function homeEngines(
  parts: readonly PromptPart[],
  upstreams: readonly UpstreamView[],
  count: number,
): readonly string[] {
  const shared = parts.at(-2);
  if (shared === undefined) {
    return [];
  }
  return upstreams
    .map(({ entry }) => ({
      id: entry.upstreamId,
      weight: hash32(`${shared.partId}|${entry.upstreamId}`),
    }))
    .sort((a, b) => b.weight - a.weight)
    .slice(0, count)
    .map(({ id }) => id);
}

function assess(
  request: PlacementRequest,
  upstream: UpstreamView,
  homes: readonly string[],
  location: RouterLocation,
  nowMs: number,
  options: PlacementOptions,
): Placement {
  const { promptParts, promptTokens } = request;
  const sharedTokens = promptParts.slice(0, -1).reduce((sum, { tokens }) => sum + tokens, 0);
  const homeRank = homes.indexOf(upstream.entry.upstreamId);
  const expectedShared = homeRank === 0 && !upstream.cache.known ? sharedTokens * HOME_CACHED_PART : 0;
  const cached = Math.max(expectedShared, upstream.cachedTokens(promptParts, nowMs));
  const preferenceMs = homeRank < 0 ? 0 : options.homePreferenceMs / (1 + homeRank);
  const uncachedTokens = Math.max(0, promptTokens - cached);
  const readTokens = uncachedTokens + upstream.pendingPrefillTokens;
  const costMs =
    readTokens / options.prefillTokensPerMs +
    upstream.inFlight * options.batchCostMs +
    distanceCostMs(upstream, location, options) +
    upstream.failureRate * options.failureCostMs +
    (upstream.entry.warmupLeftMs > 0 ? options.otherRegionCostMs : 0) -
    preferenceMs;
  return { upstream, costMs, uncachedTokens };
}

function distanceCostMs(upstream: UpstreamView, location: RouterLocation, options: PlacementOptions): number {
  const zone = upstream.entry.availabilityZone;
  if (zone === location.availabilityZone) {
    return 0;
  }
  return location.regionOf(zone) === location.region ? options.otherZoneCostMs : options.otherRegionCostMs;
}
