import { hash32 } from '@pimentostall/core';
import type { PromptPart } from '../types.ts';
import type { PlacementOptions } from './options.ts';
import type { RequestReach, ZoneCost } from './requestReach.ts';
import { chooseWithinReach } from './requestReach.ts';
import { rereadCostFactor } from './rereadCost.ts';
import type { UpstreamView } from './upstreamView.ts';
import { constantDistanceMs, distanceOf } from './zoneDistance.ts';

export interface PlacementRequest {
  readonly serviceName: string;
  /** Empty for a plain service. */
  readonly promptParts: readonly PromptPart[];
  readonly promptTokens: number;
  /** Ids of the upstreams that this request has already been sent to. */
  readonly excluded: ReadonlySet<string>;
  /**
   * Set for a request whose engine has ended before it answered. Requests that engines ended with go to different
   * engines, so that those which are not the cause do not meet the one that is again.
   */
  readonly spreadKey: string | undefined;
  /** Set if routers share the loads of engines: spreads requests over engines that cost almost the same. */
  readonly tieKey?: string | undefined;
  /** Called for each upstream that could take the request; true if it must not. */
  readonly isWithheld?: (upstream: UpstreamView) => boolean;
  /** Set if the router decides which of its requests leave the zone; otherwise distance has a constant cost. */
  readonly reach?: RequestReach | undefined;
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

/** A placement with the part of its cost that the load of the upstream causes. */
export interface EstimatedPlacement extends Placement {
  readonly loadMs: number;
}

/** Fraction of a shared prompt assumed to be cached on its first home engine before any cache events are known. */
const HOME_CACHED_FRACTION = 0.9;

/**
 * Chooses the upstream with the lowest estimated time to the first token. To keep long shared prompts cached, all
 * routers map a shared part to the same few home engines by rendezvous hashing. They choose other engines when
 * waiting for a home engine would take longer than prefilling the part again, or several times as long where routers
 * share the loads of engines (see rereadCost.ts).
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
    (upstream) =>
      upstream.isUsable(nowMs) &&
      !request.excluded.has(upstream.entry.upstreamId) &&
      request.isWithheld?.(upstream) !== true,
  );
  const estimate: EstimateInput = {
    request,
    homes: chooseHomeEngines(request.promptParts, serviceUpstreams, options.homesPerPart),
    location,
    nowMs,
    options,
    // Without the loads of the other routers, the state of the service is not known.
    rereadFactor:
      request.tieKey === undefined ? 1 : rereadCostFactor(meanPendingMs(candidates, nowMs, options)),
  };
  const placements = candidates.map((upstream) => estimatePlacement(upstream, estimate));
  if (request.spreadKey !== undefined) {
    return spreadPlacement(placements, request.spreadKey);
  }
  const { reach, tieKey } = request;
  if (reach !== undefined) {
    const pick = tieKey === undefined ? undefined : (count: number): number => hash32(tieKey) % count;
    return chooseWithinReach(placements, reach, options.spreadToleranceMs, pick);
  }
  const best = minBy(placements, ({ costMs }) => costMs);
  return best === undefined || tieKey === undefined
    ? best
    : chooseAmongEqual(placements, best.costMs + options.spreadToleranceMs, tieKey);
}

/**
 * Returns one of the placements up to a cost by the hash of a key, so that routers with the same view of the loads do
 * not all choose the same engine.
 */
function chooseAmongEqual(
  placements: readonly Placement[],
  maxCostMs: number,
  key: string,
): Placement | undefined {
  let count = 0;
  for (const { costMs } of placements) {
    count += costMs <= maxCostMs ? 1 : 0;
  }
  let index = count > 1 ? hash32(key) % count : 0;
  return placements.find(({ costMs }) => costMs <= maxCostMs && index-- === 0);
}

/** Returns one of the less costly half, in rendezvous order of the key. */
function spreadPlacement(placements: readonly Placement[], key: string): Placement | undefined {
  const cheaper = [...placements]
    .sort((a, b) => a.costMs - b.costMs)
    .slice(0, Math.ceil(placements.length / 2));
  return minBy(cheaper, ({ upstream }) => hash32(`${key}|${upstream.entry.upstreamId}`));
}

function minBy(
  placements: readonly Placement[],
  valueOf: (placement: Placement) => number,
): Placement | undefined {
  let best: { placement: Placement; value: number } | undefined;
  for (const placement of placements) {
    const value = valueOf(placement);
    if (best === undefined || value < best.value) {
      best = { placement, value };
    }
  }
  return best?.placement;
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

/** Mean time that the prompts take which all routers have sent to an engine and which have no first event yet. */
function meanPendingMs(
  upstreams: readonly UpstreamView[],
  nowMs: number,
  { prefillTokensPerMs }: PlacementOptions,
): number {
  let pendingTokens = 0;
  for (const { pendingPrefillTokens, remoteLoad } of upstreams) {
    pendingTokens += pendingPrefillTokens + remoteLoad.pendingPrefillTokens(nowMs);
  }
  return pendingTokens / prefillTokensPerMs / Math.max(1, upstreams.length);
}

interface EstimateInput {
  readonly request: PlacementRequest;
  /** Ids of the home engines of the prompt's shared part, in rendezvous order. */
  readonly homes: readonly string[];
  readonly location: RouterLocation;
  readonly nowMs: number;
  readonly options: PlacementOptions;
  /** Cost of a shared token that is not cached, as a multiple of that of another token. */
  readonly rereadFactor: number;
}

function estimatePlacement(
  upstream: UpstreamView,
  { request, homes, location, nowMs, options, rereadFactor }: EstimateInput,
): EstimatedPlacement {
  const { promptParts, promptTokens, reach } = request;
  const sharedTokens = promptParts.slice(0, -1).reduce((sum, { tokens }) => sum + tokens, 0);
  const homeRank = homes.indexOf(upstream.entry.upstreamId);
  const assumedSharedTokens =
    homeRank === 0 && !upstream.cache.synced ? sharedTokens * HOME_CACHED_FRACTION : 0;
  const cachedTokens = Math.max(assumedSharedTokens, upstream.cachedTokens(promptParts, nowMs));
  const zone = zoneCostOf(upstream, reach, location, options);
  const preferenceMs = homeRank < 0 ? 0 : options.homePreferenceMs / (1 + homeRank);
  const uncachedTokens = Math.max(0, promptTokens - cachedTokens);
  const { remoteLoad } = upstream;
  const rereadTokens = Math.max(0, sharedTokens - cachedTokens) * (rereadFactor - 1);
  const pendingTokens = upstream.pendingPrefillTokens + remoteLoad.pendingPrefillTokens(nowMs);
  const loadMs =
    pendingTokens / options.prefillTokensPerMs +
    (upstream.inFlight + remoteLoad.inFlight(nowMs)) * options.batchCostMs;
  const costMs =
    (uncachedTokens + rereadTokens) / options.prefillTokensPerMs +
    loadMs +
    zone.costMs +
    upstream.recentFailureRate(reach?.failureMemoryMs ?? Infinity, nowMs) * options.failureCostMs +
    resumeCostMs(upstream, nowMs, options) +
    (isWarmingUp(upstream, nowMs) ? options.otherRegionCostMs : 0) -
    preferenceMs;
  return { upstream, costMs, uncachedTokens, loadMs };
}

/** Whether an upstream responds slowly since it has just started. Its entry is only asked where no cold time is known. */
function isWarmingUp({ coldEndMs, entry }: UpstreamView, nowMs: number): boolean {
  return coldEndMs === -Infinity ? entry.warmupLeftMs > 0 : nowMs < coldEndMs;
}

/** Lets the load return step by step to an upstream that asked for time or was cold. */
function resumeCostMs(
  { coldEndMs, resumesAtMs }: UpstreamView,
  nowMs: number,
  options: PlacementOptions,
): number {
  // The load of a cold upstream is bounded by the allowance, not by its cost.
  const resumedAtMs = Math.max(resumesAtMs, nowMs < coldEndMs ? -Infinity : coldEndMs);
  const elapsedPart = (nowMs - resumedAtMs) / options.resumeRampMs;
  return options.resumeCostMs * Math.max(0, 1 - elapsedPart);
}

/** Returns the soonest time at which an upstream that asked for time takes requests again; undefined without one. */
export function soonestResumeAtMs(
  serviceName: string,
  upstreams: Iterable<UpstreamView>,
  nowMs: number,
): number | undefined {
  const timesMs = [...upstreams]
    .filter(
      ({ entry, isStaying, resumesAtMs }) =>
        entry.serviceName === serviceName && isStaying && resumesAtMs > nowMs,
    )
    .map(({ ejectedUntilMs, resumesAtMs }) => Math.max(ejectedUntilMs, resumesAtMs));
  return timesMs.length === 0 ? undefined : Math.min(...timesMs);
}

function zoneCostOf(
  { entry }: UpstreamView,
  reach: RequestReach | undefined,
  location: RouterLocation,
  options: PlacementOptions,
): ZoneCost {
  if (reach !== undefined) {
    return reach.zoneCost(entry.availabilityZone);
  }
  const distance = distanceOf(entry.availabilityZone, location);
  return { distance, costMs: constantDistanceMs(distance, options), waitMs: 0 };
}
