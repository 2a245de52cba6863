/** Retries that may still be made; grows by a fraction of a retry with each request. */
export interface RetryBudget {
  availableRetries: number;
}

/** Lets a router with little traffic retry at all, and bounds the retries after a quiet time. */
const MAX_SAVED_RETRIES = 10;

export function createRetryBudget(): RetryBudget {
  return { availableRetries: MAX_SAVED_RETRIES };
}

/** Adds the part of a retry that one more request allows. */
export function creditRequest(budget: RetryBudget, fraction: number): void {
  budget.availableRetries = Math.min(MAX_SAVED_RETRIES, budget.availableRetries + fraction);
}

/** Takes one retry; false if the budget is used up, so that retries cannot multiply an overload. */
export function takeRetry(budget: RetryBudget): boolean {
  if (budget.availableRetries < 1) {
    return false;
  }
  budget.availableRetries -= 1;
  return true;
}
