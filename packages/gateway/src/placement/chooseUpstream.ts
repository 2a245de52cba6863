import { hash32 } from '@pimentostall/core';
import type { PromptPart } from '../types.ts';
import type { PlacementOptions } from './options.ts';
import type { UpstreamView } from './upstreamView.ts';

export interface PlacementRequest {
  readonly serviceName: string;
  /** Empty for a plain service. */
  readonly promptParts: readonly PromptPart[];
  readonly promptTokens: number;
  /** Ids of the upstreams that this request has already been sent to. */
  readonly excluded: ReadonlySet<string>;
}

export interface RouterLocation {
  readonly availabilityZone: string;
  readonly region: string;
  regionOf(availabilityZone: string): string | undefined;
}

export interface Placement {
  readonly upstream: UpstreamView;
  /** Estimated time to the first token, with the penalties and preferences of the placement options. */
  readonly costMs: number;
  /** Estimated number of prompt tokens that the engine has to prefill. */
  readonly uncachedTokens: number;
}

/** Fraction of a shared prompt assumed to be cached on its first home engine before any cache events are known. */
const HOME_CACHED_FRACTION = 0.9;

/**
 * Chooses the upstream with the lowest estimated time to the first token. To keep long shared prompts cached, all
 * routers map a shared part to the same few home engines by rendezvous hashing. They choose other engines when
 * waiting for a home engine would take longer than prefilling the part again.
 */
export function chooseUpstream(
  request: PlacementRequest,
  upstreams: Iterable<UpstreamView>,
  location: RouterLocation,
  nowMs: number,
  options: PlacementOptions,
): Placement | undefined {
  const serviceUpstreams = [...upstreams].filter(({ entry }) => entry.serviceName === request.serviceName);
  const candidates = serviceUpstreams.filter(
    (upstream) => upstream.isUsable(nowMs) && !request.excluded.has(upstream.entry.upstreamId),
  );
  const homes = chooseHomeEngines(request.promptParts, serviceUpstreams, options.homesPerPart);
  let best: Placement | undefined;
  for (const upstream of candidates) {
    const placement = estimatePlacement(request, upstream, homes, location, nowMs, options);
    if (best === undefined || placement.costMs < best.costMs) {
      best = placement;
    }
  }
  return best;
}

/** Returns the ids of the home engines of the longest shared prefix, in rendezvous order. */
function chooseHomeEngines(
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

function estimatePlacement(
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
  const assumedSharedTokens =
    homeRank === 0 && !upstream.cache.synced ? sharedTokens * HOME_CACHED_FRACTION : 0;
  const cachedTokens = Math.max(assumedSharedTokens, upstream.cachedTokens(promptParts, nowMs));
  const preferenceMs = homeRank < 0 ? 0 : options.homePreferenceMs / (1 + homeRank);
  const uncachedTokens = Math.max(0, promptTokens - cachedTokens);
  const prefillTokens = uncachedTokens + upstream.pendingPrefillTokens;
  const costMs =
    prefillTokens / options.prefillTokensPerMs +
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
