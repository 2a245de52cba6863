import type { EngineCandidate, RandomSource } from '@pimentostall/core';
import { EngineChoiceKind, chooseEngine } from '@pimentostall/core';
import { FAR_ENGINE_COST_MS } from './options.ts';
import { ChooserKind } from './types.ts';

/** Input of a choice; every chooser gets the same information. */
export interface ChoiceInput {
  readonly candidates: readonly EngineCandidate[];
  readonly excludedAddresses: ReadonlySet<string>;
  readonly prefixHashes: readonly string[];
  readonly nowMs: number;
  readonly random: RandomSource;
}

/** Chooses an engine for a request; returns undefined if no engine is usable. */
export type Chooser = (input: ChoiceInput) => EngineCandidate | undefined;

export function createChooser(kind: ChooserKind, routerIndex: number): Chooser {
  switch (kind) {
    case ChooserKind.Core:
      return chooseByCore;
    case ChooserKind.LeastLoaded:
      return chooseLeastLoaded;
    case ChooserKind.Random:
      return (input) => pickRandom(usableCandidates(input), input.random);
    case ChooserKind.RoundRobin:
      return createRoundRobin(routerIndex);
  }
}

function usableCandidates({ candidates, excludedAddresses, nowMs }: ChoiceInput): EngineCandidate[] {
  return candidates.filter(
    ({ engine, info }) =>
      !info.leaving && info.ejectedUntilMs <= nowMs && !excludedAddresses.has(engine.address),
  );
}

function pickRandom<T>(items: readonly T[], random: RandomSource): T | undefined {
  return items[Math.floor(random() * items.length)];
}

function chooseByCore(input: ChoiceInput): EngineCandidate | undefined {
  const { candidates, excludedAddresses, prefixHashes, nowMs, random } = input;
  const choice = chooseEngine({
    candidates,
    region: 'near',
    availabilityZone: 'near-a',
    prefixHashes,
    excludedAddresses,
    nowMs,
    farEngineCostMs: FAR_ENGINE_COST_MS,
    random: random(),
  });
  return choice.kind === EngineChoiceKind.Chosen ? choice.candidate : undefined;
}

/** Chooses the lowest sum of own in-flight and reported requests; ties are broken at random. */
function chooseLeastLoaded(input: ChoiceInput): EngineCandidate | undefined {
  const candidateLoads = usableCandidates(input).map((candidate) => {
    const { ownInFlightCount, load } = candidate.info;
    return { candidate, load: ownInFlightCount + (load?.runningCount ?? 0) + (load?.queuedCount ?? 0) };
  });
  const lowestLoad = candidateLoads.reduce((least, { load }) => Math.min(least, load), Infinity);
  const leastLoaded = candidateLoads.filter(({ load }) => load === lowestLoad);
  return pickRandom(leastLoaded, input.random)?.candidate;
}

/** Each router starts at a different engine, as independently started processes do. */
function createRoundRobin(routerIndex: number): Chooser {
  let next = routerIndex;
  return (input) => {
    const usable = usableCandidates(input);
    next += 1;
    return usable[next % usable.length];
  };
}
