/** Retries that are still allowed. Each request adds a fraction of a retry. */
export interface RetryBudget {
  availableRetries: number;
}

/** Allows retries on a router with little traffic, and limits the burst of retries after an idle period. */
const MAX_SAVED_RETRIES = 10;

export function createRetryBudget(): RetryBudget {
  return { availableRetries: MAX_SAVED_RETRIES };
}

/** Adds the fraction of a retry that a new request earns. */
export function creditRequest(budget: RetryBudget, fraction: number): void {
  budget.availableRetries = Math.min(MAX_SAVED_RETRIES, budget.availableRetries + fraction);
}

/** Consumes one retry. Returns false if the budget is exhausted, so that retries cannot amplify an overload. */
export function tryConsumeRetry(budget: RetryBudget): boolean {
  if (budget.availableRetries < 1) {
    return false;
  }
  budget.availableRetries -= 1;
  return true;
}
