import type { EngineCandidate, RandomSource } from '@pimentostall/core';
import { EngineChoiceKind, chooseEngine } from '@pimentostall/core';
import { FAR_ENGINE_COST_MS } from './options.ts';
import { ChooserKind } from './types.ts';

/** What a router knows when it chooses; the same for all choosers. */
export interface ChoiceInput {
  readonly candidates: readonly EngineCandidate[];
  readonly excludedAddresses: ReadonlySet<string>;
  readonly prefixHashes: readonly string[];
  readonly nowMs: number;
  readonly random: RandomSource;
}

/** The chooser of one router; undefined if no engine can be used. */
export type Chooser = (input: ChoiceInput) => EngineCandidate | undefined;

export function createChooser(kind: ChooserKind, routerIndex: number): Chooser {
  switch (kind) {
    case ChooserKind.Core:
      return chooseByCore;
    case ChooserKind.LeastLoaded:
      return chooseLeastLoaded;
    case ChooserKind.Random:
      return (input) => pickRandom(usableOf(input), input.random);
    case ChooserKind.RoundRobin:
      return createRoundRobin(routerIndex);
  }
}

function usableOf({ candidates, excludedAddresses, nowMs }: ChoiceInput): EngineCandidate[] {
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

/** The lowest sum of own and reported requests; ties at random. */
function chooseLeastLoaded(input: ChoiceInput): EngineCandidate | undefined {
  const loads = usableOf(input).map((candidate) => {
    const { ownInFlightCount, load } = candidate.info;
    return { candidate, load: ownInFlightCount + (load?.runningCount ?? 0) + (load?.queuedCount ?? 0) };
  });
  const lowest = loads.reduce((least, { load }) => Math.min(least, load), Infinity);
  const best = loads.filter(({ load }) => load === lowest);
  return pickRandom(best, input.random)?.candidate;
}

/** Routers start at different engines, as processes that start at different times do. */
function createRoundRobin(routerIndex: number): Chooser {
  let next = routerIndex;
  return (input) => {
    const usable = usableOf(input);
    next += 1;
    return usable[next % usable.length];
  };
}
