/** How much of a budget is drawn, as a reply of the store or of a lender last showed it. */
export interface KnownGrant {
  /** Version of the row of totals; a higher one is newer. 0 before the first reply. */
  readonly totalVersion: number;
  /** Tokens debited from the budget by all routers. */
  readonly grantedTokens: number;
  /** Budget in force when the totals were read. */
  readonly budgetTokens: number;
}

export const UNKNOWN_GRANT: KnownGrant = { totalVersion: 0, grantedTokens: 0, budgetTokens: 0 };

/** Returns the newer of two grants; of two readings of the same row, the one that was made under the lower budget. */
export function newerGrant(known: KnownGrant, other: KnownGrant): KnownGrant {
  if (other.totalVersion === known.totalVersion) {
    return other.budgetTokens < known.budgetTokens ? other : known;
  }
  return other.totalVersion > known.totalVersion ? other : known;
}

/**
 * True if the budget has been cut since the totals were read. A router that does not follow the totals then cannot tell
 * whether its tokens are still covered: more may have been drawn since.
 */
export function isReadBeforeCut(
  { budgetTokens: readBudgetTokens }: KnownGrant,
  budgetTokens: number,
): boolean {
  return readBudgetTokens > budgetTokens;
}
