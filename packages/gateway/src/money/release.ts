import type { ShareRecord } from './types.ts';

/** How a share opens beyond its limit while the store is silent. */
export interface ReleaseOptions {
  /** Silence of the store after which a share begins to open: longer than a liveness record takes. */
  readonly graceMs: number;
  /** Time in which the rest of the share then opens evenly. */
  readonly releaseMs: number;
}

/**
 * Tokens that may have been spent of a share at most, once the store has heard nothing for `silentMs`. The router
 * and its next life use the same bound: one to spend, the other to give back what lies beyond.
 */
export function spendableTokens(
  share: Pick<ShareRecord, 'grantedTokens' | 'limitTokens'>,
  silentMs: number,
  options: ReleaseOptions,
): number {
  const part = Math.min(1, Math.max(0, (silentMs - options.graceMs) / options.releaseMs));
  const limitTokens = Math.min(share.limitTokens, share.grantedTokens);
  return limitTokens + Math.floor((share.grantedTokens - limitTokens) * part);
}
