import type { UpstreamInfo } from './types.ts';

/** The least used address of a plain service that is neither leaving, ejected nor excluded; ties at random. */
export function chooseServiceAddress(
  candidates: readonly UpstreamInfo[],
  excludedAddresses: ReadonlySet<string>,
  nowMs: number,
  random: number,
): UpstreamInfo | undefined {
  const usable = candidates.filter(
    (info) => !info.leaving && info.ejectedUntilMs <= nowMs && !excludedAddresses.has(info.address),
  );
  const lowest = Math.min(...usable.map((info) => info.ownInFlightCount));
  const best = usable.filter((info) => info.ownInFlightCount === lowest);
  return best[Math.floor(random * best.length)];
}
