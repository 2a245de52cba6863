import type { KnownGrant } from './knownGrant.ts';
import type { PreviousIncarnation } from './liveness.ts';
import type { ReleaseOptions } from './release.ts';
import type { ShareRole } from './shareRole.ts';

export interface LedgerIdentity {
  readonly incarnationId: string;
  readonly previousIncarnation: PreviousIncarnation;
  readonly release: ReleaseOptions;
  /** Era of the store at the start; undefined for a store without eras. */
  readonly storeEra?: number | undefined;
}

export interface LedgerPlanInput {
  /** The organisation's current budget. */
  readonly budgetTokens: number;
  /** Tokens that all waiting requests need together. */
  readonly neededTokens: number;
  /** Tokens of the smallest waiting request; 0 if none waits. */
  readonly leastNeededTokens: number;
  readonly role: ShareRole;
  /** How much of the budget is drawn, by the newest reply of the store or of a lender. */
  readonly knownGrant: KnownGrant;
  /** False while other routers may hold tokens that the totals lack (storeRestoration.ts). */
  readonly mayDraw: boolean;
  /** True if the totals must be read again because the budget was cut since. */
  readonly refreshesTotals: boolean;
  /** Maximum time until spending is reported in the totals. */
  readonly settlePeriodMs: number;
  readonly nowMs: number;
}
