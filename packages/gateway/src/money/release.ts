import type { ShareRecord } from './types.ts';

/** How tokens of a share beyond its limit are released while the store does not respond. */
export interface ReleaseOptions {
  /** Time without a reply from the store before the release starts; longer than writing a liveness record takes. */
  readonly graceMs: number;
}

/**
 * Upper bound on the tokens spent from a share when the store has received no record for `silentMs`. A router spends
 * up to this bound, and its next incarnation returns the tokens above it, so both must compute the same bound.
 */
export function spendableTokens(
  share: Pick<ShareRecord, 'grantedTokens' | 'limitTokens' | 'releaseTokensPerSecond'>,
  silentMs: number,
  { graceMs }: ReleaseOptions,
): number {
  const releasedTokens = (Math.max(0, silentMs - graceMs) / 1_000) * share.releaseTokensPerSecond;
  return Math.min(share.grantedTokens, share.limitTokens + Math.floor(releasedTokens));
}
