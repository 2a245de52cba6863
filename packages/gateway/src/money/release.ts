import type { ShareRecord } from './types.ts';

/** How a share opens beyond its limit while the store is silent. */
export interface ReleaseOptions {
  /** Silence of the store after which a share begins to open: longer than a liveness record takes. */
  readonly graceMs: number;
}

/**
 * Tokens that may have been spent of a share at most, once the store has heard nothing for `silentMs`. The router
 * and its next life use the same bound: one to spend, the other to give back what lies beyond.
 */
export function spendableTokens(
  share: Pick<ShareRecord, 'grantedTokens' | 'limitTokens' | 'releaseTokensPerSecond'>,
  silentMs: number,
  { graceMs }: ReleaseOptions,
): number {
  const releasedTokens = (Math.max(0, silentMs - graceMs) / 1_000) * share.releaseTokensPerSecond;
  return Math.min(share.grantedTokens, share.limitTokens + Math.floor(releasedTokens));
}
