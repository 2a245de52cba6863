import type { GatewayContext } from '../context.ts';
import type { ServedRequest } from '../requests/servedRequest.ts';
import { RetryBudget } from './retryBudget.ts';

/** Reserves further attempts of a request in the retry budget of its service; false if they are not allowed. */
export function tryReserveRetry(context: GatewayContext, request: ServedRequest, count = 1): boolean {
  const nowMs = context.loop.nowMs();
  return (
    request.sentCount < request.route.maxAttempts &&
    nowMs < request.deadlineAtMs &&
    getOrCreateRetryBudget(context, request.service.name).tryReserveRetry(
      nowMs,
      context.maxRouterCount(),
      count,
    )
  );
}

export function getOrCreateRetryBudget(context: GatewayContext, serviceName: string): RetryBudget {
  const existing = context.board.retryBudgets.get(serviceName);
  if (existing !== undefined) {
    return existing;
  }
  const { retryRatio, retryWindowMs, retrySlack } = context.options;
  const budget = new RetryBudget({ ratio: retryRatio, windowMs: retryWindowMs, slack: retrySlack });
  context.board.retryBudgets.set(serviceName, budget);
  return budget;
}
