import type { UpstreamInfo } from './types.ts';

/** Chooses the least loaded address that is not leaving, ejected or excluded. Ties are broken at random. */
export function chooseServiceAddress(
  candidates: readonly UpstreamInfo[],
  excludedAddresses: ReadonlySet<string>,
  nowMs: number,
  random: number,
): UpstreamInfo | undefined {
  const usable = candidates.filter(
    (info) => !info.leaving && info.ejectedUntilMs <= nowMs && !excludedAddresses.has(info.address),
  );
  const lowestCount = Math.min(...usable.map((info) => info.ownInFlightCount));
  const best = usable.filter((info) => info.ownInFlightCount === lowestCount);
  return best[Math.floor(random * best.length)];
}
