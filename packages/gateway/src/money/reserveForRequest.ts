import type { Task } from '@pimentostall/core';
import type { GatewayContext } from '../context.ts';
import type { LedgerAccount } from './account.ts';
import { budgetOf, knowsTotals } from './account.ts';
import { areTokensExpected } from './budgetSight.ts';
import type { ReserveOutcomeKind } from './reserveTokens.ts';
import { reserveTokens } from './reserveTokens.ts';
import { mayDraw } from './storeRestoration.ts';
import { tokenWaitMs } from './tokenWait.ts';

export interface RequestReservation {
  readonly tokens: number;
  /** Target latency of the request; the time until its deadline if it has none. */
  readonly targetMs: number;
  /** Monotonic time. */
  readonly deadlineAtMs: number;
}

/** Reserves the tokens of a caller's request; waits for them as long as their state allows (see tokenWait.ts). */
export function* reserveForRequest(
  context: GatewayContext,
  account: LedgerAccount,
  { tokens, targetMs, deadlineAtMs }: RequestReservation,
): Task<ReserveOutcomeKind> {
  const startedAtMs = context.loop.nowMs();
  const waitUntilMs = (): number => {
    const isExpected = account.ledger.freeTokens >= tokens || areTokensInBudget(context, account, tokens);
    return Math.min(startedAtMs + tokenWaitMs({ targetMs, isExpected }, context.options), deadlineAtMs);
  };
  return yield* reserveTokens(context, account, tokens, { waitUntilMs, forLoan: false });
}

/** True if the store or a home router has recently shown that the tokens are not drawn, and replies. */
function areTokensInBudget(context: GatewayContext, account: LedgerAccount, tokens: number): boolean {
  const undrawnTokens =
    budgetOf(context.board, account.organisationName) - account.ledger.rows.total.grantedTokens;
  if (!mayDraw(context.board)) {
    return false;
  }
  return (
    (knowsTotals(context, account) && undrawnTokens >= tokens) ||
    areTokensExpected(account.sight, tokens, context.loop.nowMs())
  );
}
