import type { EngineSection } from '../types/configuration.ts';
import type { UpstreamInfo } from './types.ts';

export interface EngineCandidate {
  readonly engine: EngineSection;
  readonly info: UpstreamInfo;
}

export interface EngineChoiceRequest {
  readonly candidates: readonly EngineCandidate[];
  readonly region: string;
  readonly availabilityZone: string;
  readonly prefixHashes: readonly string[];
  /** Addresses where this request has already failed. */
  readonly excludedAddresses: ReadonlySet<string>;
  readonly nowMs: number;
  readonly farEngineCostMs: number;
  /** A number in [0, 1). */
  readonly random: number;
}

export enum EngineChoiceKind {
  Chosen = 'chosen',
  /** Every usable engine is at its concurrency limit for requests from this router. */
  AllBusy = 'allBusy',
  NoneUsable = 'noneUsable',
}

export type EngineChoice =
  | { readonly kind: EngineChoiceKind.Chosen; readonly candidate: EngineCandidate }
  | { readonly kind: EngineChoiceKind.AllBusy }
  | { readonly kind: EngineChoiceKind.NoneUsable };

/** Half-life of the weight of a load report, since requests start and finish after it was taken. */
const LOAD_HALF_LIFE_MS = 2_000;

/**
 * Weight of a reported request relative to one of this router's own. At full weight, all routers followed the
 * same stale report, and the choice was worse than a random one (bench:routing).
 */
const REPORTED_REQUEST_WEIGHT = 0.1;

/** Expected wait per request ahead: roughly the time share of one request in a continuous batch. */
const WAIT_MS_PER_REQUEST = 20;

/** Expected prefill time of an uncached prefix block. At 5 ms, popular prefixes overload their engines. */
const PREFILL_MS_PER_BLOCK = 2.5;

/** Less than one request or a few cached blocks; a wider margin sends half of the work past a warm engine. */
const TIE_MARGIN_MS = 10;

/** Keeps work in the local zone unless an engine in another zone has about two fewer requests ahead. */
const OTHER_ZONE_COST_MS = 40;

function reportedLoad(info: UpstreamInfo, nowMs: number): number {
  if (info.load === undefined) {
    return 0;
  }
  const ageMs = info.load.ageMs + Math.max(0, nowMs - info.loadReadAtMs);
  const weight = REPORTED_REQUEST_WEIGHT * 0.5 ** (ageMs / LOAD_HALF_LIFE_MS);
  return (info.load.runningCount + info.load.queuedCount) * weight;
}

function distanceCostMs(request: EngineChoiceRequest, engine: EngineSection): number {
  if (engine.region !== request.region) {
    return request.farEngineCostMs + OTHER_ZONE_COST_MS;
  }
  return engine.availabilityZone === request.availabilityZone ? 0 : OTHER_ZONE_COST_MS;
}

/** Expected time until the engine starts to answer; lower is better. */
export function engineScoreMs(request: EngineChoiceRequest, { engine, info }: EngineCandidate): number {
  const requestsAhead = info.ownInFlightCount + reportedLoad(info, request.nowMs);
  const uncachedBlocks = request.prefixHashes.length - info.prefixes.cachedBlockCount(request.prefixHashes);
  return (
    requestsAhead * WAIT_MS_PER_REQUEST +
    uncachedBlocks * PREFILL_MS_PER_BLOCK +
    distanceCostMs(request, engine)
  );
}

function isUsable(request: EngineChoiceRequest, { engine, info }: EngineCandidate): boolean {
  return (
    !info.leaving && info.ejectedUntilMs <= request.nowMs && !request.excludedAddresses.has(engine.address)
  );
}

interface ScoredCandidate {
  readonly candidate: EngineCandidate;
  readonly scoreMs: number;
}

/**
 * Scores the usable candidates below their concurrency limit, starting at a random one, so that ties are
 * broken differently each time. In address order, all routers without reports would choose the same two of
 * many idle engines.
 */
function scoreAvailable(request: EngineChoiceRequest, usable: readonly EngineCandidate[]): ScoredCandidate[] {
  const start = Math.floor(request.random * usable.length);
  return [...usable.slice(start), ...usable.slice(0, start)]
    .filter(({ engine, info }) => info.ownInFlightCount < engine.maxConcurrent)
    .map((candidate) => ({ candidate, scoreMs: engineScoreMs(request, candidate) }));
}

/** Returns the first candidate with the lowest score, in one pass, since the others need no order. */
function findBest(scored: readonly ScoredCandidate[]): ScoredCandidate | undefined {
  let best: ScoredCandidate | undefined;
  for (const entry of scored) {
    best = best === undefined || entry.scoreMs < best.scoreMs ? entry : best;
  }
  return best;
}

/**
 * Chooses the engine with the lowest score, or at random one of the best two if their scores are nearly
 * equal, so that routers with the same stale report do not all choose the same engine. The second engine is
 * never more distant than the first: a random pick of a far engine would use the narrow link although a near
 * engine is better.
 */
export function chooseEngine(request: EngineChoiceRequest): EngineChoice {
  const usable = request.candidates.filter((candidate) => isUsable(request, candidate));
  if (usable.length === 0) {
    return { kind: EngineChoiceKind.NoneUsable };
  }
  const scored = scoreAvailable(request, usable);
  const best = findBest(scored);
  if (best === undefined) {
    return { kind: EngineChoiceKind.AllBusy };
  }
  const bestCostMs = distanceCostMs(request, best.candidate.engine);
  const second = findBest(
    scored.filter((entry) => entry !== best && distanceCostMs(request, entry.candidate.engine) <= bestCostMs),
  );
  // Reuses the fraction of the random number that the starting position did not consume.
  const tieBreaker = (request.random * usable.length) % 1;
  const chosen =
    second !== undefined && tieBreaker >= 0.5 && second.scoreMs - best.scoreMs <= TIE_MARGIN_MS
      ? second
      : best;
  return { kind: EngineChoiceKind.Chosen, candidate: chosen.candidate };
}
