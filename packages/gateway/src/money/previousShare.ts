import type { PreviousIncarnation } from './liveness.ts';
import { spendableTokens } from './release.ts';
import type { ShareRecord } from './types.ts';

/** Returns the tokens of an earlier incarnation's share that it cannot have spent; they go back to the budget. */
export function recoverableTokens(
  share: ShareRecord,
  { record, readAtStoreMs }: PreviousIncarnation,
  storeEra: number | undefined,
): number {
  // A row of an earlier era may lack what the incarnation has drawn and spent since it wrote the row.
  if (record?.incarnationId !== share.incarnationId || share.storeEra !== storeEra) {
    return 0;
  }
  const spendable = spendableTokens(share, readAtStoreMs - record.writtenAtStoreMs, record);
  return Math.max(0, share.grantedTokens - Math.max(spendable, share.settledTokens));
}
