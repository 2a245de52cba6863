export interface TokenWaitInput {
  /** Target latency of the request; its deadline if it has none. */
  readonly targetMs: number;
  /**
   * True if the tokens come soon: the router's share holds them and only its limit keeps them back, or they are in the
   * budget and the store or a home router replies.
   */
  readonly isExpected: boolean;
}

export interface TokenWaitOptions {
  /** Maximum wait for tokens that may not come, as a fraction of the target. */
  readonly budgetWaitTargetPart: number;
}

/** Maximum wait for tokens that come soon, as a fraction of the target. */
const EXPECTED_WAIT_TARGET_FRACTION = 0.8;

/**
 * Returns how long a request waits for tokens before it is refused. Answers the load of the first second of a store
 * outage, and of a burst that many routers draw tokens for: waiting serves the request sooner than a refusal, after
 * which the caller has to come back. Tokens of other routers may not come at all.
 */
export function tokenWaitMs(
  { targetMs, isExpected }: TokenWaitInput,
  { budgetWaitTargetPart }: TokenWaitOptions,
): number {
  return (
    targetMs *
    (isExpected ? Math.max(EXPECTED_WAIT_TARGET_FRACTION, budgetWaitTargetPart) : budgetWaitTargetPart)
  );
}
