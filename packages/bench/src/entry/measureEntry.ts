import type { RandomSource } from '@pimentostall/core';
import { chooseEntryAddresses, DEFAULT_CORE_OPTIONS, seededRandom } from '@pimentostall/core';
import { median, rounded } from '../common/statistics.ts';

export interface EntryBenchOptions {
  readonly routerCount: number;
  readonly organisationCount: number;
  readonly requests: number;
  readonly seed: number;
}

/** Fraction of organisations whose address set changes, and fraction of all addresses that are replaced. */
export interface MovedFractions {
  readonly organisations: number;
  readonly addresses: number;
}

export interface EntryFigures {
  /** Smallest fraction of addresses that an even distribution must move when one router joins or leaves. */
  readonly idealAddresses: number;
  readonly join: MovedFractions;
  /** Entry answers omit a draining router at once and a dead one after its heartbeats stop; the address sets are equal. */
  readonly drainOrDeath: MovedFractions;
  /** Median number of routers that hold a share of an organisation's budget. */
  readonly holdersWithEntryAnswers: number;
  readonly holdersWithoutEntryAnswers: number;
  /** Mean fraction of a budget that is available at a request's router when shares are even. */
  readonly reachableWithEntryAnswers: number;
  readonly reachableWithoutEntryAnswers: number;
}

function routerNames(count: number): string[] {
  return Array.from({ length: count }, (_, index) => `127.1.${index >> 8}.${index & 255}:8080`);
}

function chooseEntrySets(setup: EntryBenchOptions, routers: readonly string[]): string[][] {
  return Array.from({ length: setup.organisationCount }, (_, index) =>
    chooseEntryAddresses(`organisation-${index}`, routers, DEFAULT_CORE_OPTIONS.entryReplicas),
  );
}

function measureMoves(before: readonly string[][], after: readonly string[][]): MovedFractions {
  const changed = before.map((set, index) => {
    const kept = new Set(after[index]);
    return set.filter((address) => !kept.has(address)).length;
  });
  const addressCount = before.reduce((sum, set) => sum + set.length, 0);
  return {
    organisations: rounded(changed.filter((count) => count > 0).length / before.length),
    addresses: rounded(changed.reduce((sum, count) => sum + count, 0) / addressCount),
  };
}

/** Counts the routers that the callers of an organisation reach, each of which draws a share. */
function countReachedRouters(
  entryRouters: readonly string[],
  requests: number,
  random: RandomSource,
): number {
  const reached = Array.from({ length: requests }, () => Math.floor(random() * entryRouters.length));
  return new Set(reached).size;
}

export function measureEntry(setup: EntryBenchOptions): EntryFigures {
  const random = seededRandom(setup.seed);
  const routers = routerNames(setup.routerCount);
  const initialSets = chooseEntrySets(setup, routers);
  const removedRouter = routers[Math.floor(random() * routers.length)];
  const holderCountsWithEntryAnswers = initialSets.map((set) =>
    countReachedRouters(set, setup.requests, random),
  );
  const holderCountsWithoutEntryAnswers = initialSets.map(() =>
    countReachedRouters(routers, setup.requests, random),
  );
  const holdersWithEntryAnswers = median(holderCountsWithEntryAnswers);
  const holdersWithoutEntryAnswers = median(holderCountsWithoutEntryAnswers);
  return {
    idealAddresses: rounded(1 / setup.routerCount),
    join: measureMoves(initialSets, chooseEntrySets(setup, routerNames(setup.routerCount + 1))),
    drainOrDeath: measureMoves(
      initialSets,
      chooseEntrySets(
        setup,
        routers.filter((router) => router !== removedRouter),
      ),
    ),
    holdersWithEntryAnswers,
    holdersWithoutEntryAnswers,
    reachableWithEntryAnswers: rounded(1 / holdersWithEntryAnswers),
    reachableWithoutEntryAnswers: rounded(1 / holdersWithoutEntryAnswers),
  };
}
