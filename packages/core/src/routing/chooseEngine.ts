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
  /** Addresses that already failed this request. */
  readonly excludedAddresses: ReadonlySet<string>;
  readonly nowMs: number;
  readonly farEngineCostMs: number;
  /** A number in [0, 1). */
  readonly random: number;
}

export enum EngineChoiceKind {
  Chosen = 'chosen',
  /** Usable engines exist, but each has as many requests of this router as it takes. */
  AllBusy = 'allBusy',
  NoneUsable = 'noneUsable',
}

export type EngineChoice =
  | { readonly kind: EngineChoiceKind.Chosen; readonly candidate: EngineCandidate }
  | { readonly kind: EngineChoiceKind.AllBusy }
  | { readonly kind: EngineChoiceKind.NoneUsable };

/** A load report counts half after this time, because requests have come and gone since. */
const LOAD_HALF_LIFE_MS = 2_000;

/**
 * Reported requests count this much of own ones. At full weight all routers follow the same old report, which made
 * the choice worse than a random one (bench:routing).
 */
const REPORT_WEIGHT = 0.1;

/** Expected wait per request that is ahead: a rough time share of one request in a continuous batch. */
const WAIT_MS_PER_REQUEST = 20;

/** Expected prefill time of one prefix block that is not cached; at 5 ms popular prefixes overload their engines. */
const PREFILL_MS_PER_BLOCK = 2.5;

/** Less than a request or a few cached blocks: a wider margin sends half of the work past a warm engine. */
const EQUAL_SCORES_MS = 10;

/** Keeps work in the own zone unless another zone of the region is better by about two requests. */
const OTHER_ZONE_COST_MS = 40;

function reportedLoad(info: UpstreamInfo, nowMs: number): number {
  if (info.load === undefined) {
    return 0;
  }
  const ageMs = info.load.ageMs + Math.max(0, nowMs - info.loadReadAtMs);
  const weight = REPORT_WEIGHT * 0.5 ** (ageMs / LOAD_HALF_LIFE_MS);
  return (info.load.runningCount + info.load.queuedCount) * weight;
}

function distanceCostMs(request: EngineChoiceRequest, engine: EngineSection): number {
  if (engine.region !== request.region) {
    return request.farEngineCostMs + OTHER_ZONE_COST_MS;
  }
  return engine.availabilityZone === request.availabilityZone ? 0 : OTHER_ZONE_COST_MS;
}

/** Expected milliseconds until the engine starts to answer; lower is better. */
export function engineScoreMs(request: EngineChoiceRequest, { engine, info }: EngineCandidate): number {
  const ahead = info.ownInFlightCount + reportedLoad(info, request.nowMs);
  const uncachedBlocks = request.prefixHashes.length - info.prefixes.knownBlockCount(request.prefixHashes);
  return (
    ahead * WAIT_MS_PER_REQUEST + uncachedBlocks * PREFILL_MS_PER_BLOCK + distanceCostMs(request, engine)
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
 * Scores the usable candidates with a free slot. They start at a random one, so that equal scores fall to different
 * engines; ordered by address, all routers without a report would choose the same two of many idle engines.
 */
function scoreFree(request: EngineChoiceRequest, usable: readonly EngineCandidate[]): ScoredCandidate[] {
  const start = Math.floor(request.random * usable.length);
  return [...usable.slice(start), ...usable.slice(0, start)]
    .filter(({ engine, info }) => info.ownInFlightCount < engine.maxConcurrent)
    .map((candidate) => ({ candidate, scoreMs: engineScoreMs(request, candidate) }));
}

/** The first of the lowest scores, in one pass, because no order of the other engines is needed. */
function findBest(scored: readonly ScoredCandidate[]): ScoredCandidate | undefined {
  let best: ScoredCandidate | undefined;
  for (const entry of scored) {
    best = best === undefined || entry.scoreMs < best.scoreMs ? entry : best;
  }
  return best;
}

/**
 * Chooses an engine: one of the best two at random if they are nearly equal, so that routers with the same stale
 * report do not all send their work to the same engine. The two are taken from one distance, because a random pick of
 * a far engine would use the narrow link although a near engine is better.
 */
export function chooseEngine(request: EngineChoiceRequest): EngineChoice {
  const usable = request.candidates.filter((candidate) => isUsable(request, candidate));
  if (usable.length === 0) {
    return { kind: EngineChoiceKind.NoneUsable };
  }
  const scored = scoreFree(request, usable);
  const best = findBest(scored);
  if (best === undefined) {
    return { kind: EngineChoiceKind.AllBusy };
  }
  const bestCostMs = distanceCostMs(request, best.candidate.engine);
  const second = findBest(
    scored.filter((entry) => entry !== best && distanceCostMs(request, entry.candidate.engine) <= bestCostMs),
  );
  // The part of the random number that the start left over.
  const remainder = (request.random * usable.length) % 1;
  const chosen =
    second !== undefined && remainder >= 0.5 && second.scoreMs - best.scoreMs <= EQUAL_SCORES_MS
      ? second
      : best;
  return { kind: EngineChoiceKind.Chosen, candidate: chosen.candidate };
}
