import type { RandomSource } from '@pimentostall/core';
import { chooseEntryAddresses, DEFAULT_CORE_OPTIONS, seededRandom } from '@pimentostall/core';
import { median, rounded } from '../common/statistics.ts';

export interface EntrySetup {
  readonly routerCount: number;
  readonly organisationCount: number;
  readonly requests: number;
  readonly seed: number;
}

/** Part of the organisations that get another set of addresses, and other addresses as a part of all. */
export interface Moves {
  readonly organisations: number;
  readonly addresses: number;
}

export interface EntryFigures {
  /** Least part of the addresses that any even spread must move for one router more or less. */
  readonly idealAddresses: number;
  readonly join: Moves;
  /** A draining router is left out of the answers at once, a dead one after its heartbeats stop; the sets are equal. */
  readonly drainOrDeath: Moves;
  /** Median number of routers that hold money of an organisation. */
  readonly holdersWithEntryAnswers: number;
  readonly holdersWithoutEntryAnswers: number;
  /** Mean part of a budget that lies at the router of a request when shares are even. */
  readonly reachableWithEntryAnswers: number;
  readonly reachableWithoutEntryAnswers: number;
}

function routerNames(count: number): string[] {
  return Array.from({ length: count }, (_, index) => `127.1.${index >> 8}.${index & 255}:8080`);
}

function entrySets(setup: EntrySetup, routers: readonly string[]): string[][] {
  return Array.from({ length: setup.organisationCount }, (_, index) =>
    chooseEntryAddresses(`organisation-${index}`, routers, DEFAULT_CORE_OPTIONS.entryReplicas),
  );
}

function compare(before: readonly string[][], after: readonly string[][]): Moves {
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

/** Number of routers that the callers of an organisation reach, each of which draws a share. */
function holders(allowed: readonly string[], requests: number, random: RandomSource): number {
  const reached = Array.from({ length: requests }, () => Math.floor(random() * allowed.length));
  return new Set(reached).size;
}

export function measureEntry(setup: EntrySetup): EntryFigures {
  const random = seededRandom(setup.seed);
  const routers = routerNames(setup.routerCount);
  const before = entrySets(setup, routers);
  const gone = routers[Math.floor(random() * routers.length)];
  const withEntry = before.map((set) => holders(set, setup.requests, random));
  const without = before.map(() => holders(routers, setup.requests, random));
  const holdersWithEntryAnswers = median(withEntry);
  const holdersWithoutEntryAnswers = median(without);
  return {
    idealAddresses: rounded(1 / setup.routerCount),
    join: compare(before, entrySets(setup, routerNames(setup.routerCount + 1))),
    drainOrDeath: compare(
      before,
      entrySets(
        setup,
        routers.filter((router) => router !== gone),
      ),
    ),
    holdersWithEntryAnswers,
    holdersWithoutEntryAnswers,
    reachableWithEntryAnswers: rounded(1 / holdersWithEntryAnswers),
    reachableWithoutEntryAnswers: rounded(1 / holdersWithoutEntryAnswers),
  };
}
