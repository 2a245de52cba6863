import type { CallRecord, Evidence, Funding } from './types.ts';
import { CallKind, CallOutcome } from './types.ts';

/** Price of the tokens that the engines generated for a request; the most expensive execution counts. */
function chatCostMicros({ engines, prices }: Evidence, key: string): number {
  const attempts = engines.flatMap((requests) => requests[key] ?? []);
  const amounts = attempts.map(
    ({ promptTokens, outputTokens }) =>
      promptTokens * prices.promptMicrosPerToken + outputTokens * prices.outputMicrosPerToken,
  );
  return Math.max(0, ...amounts);
}

/** Price of an answered request according to the records of the stand-ins. */
export function usageCostMicros(evidence: Evidence, call: CallRecord): number {
  switch (call.kind) {
    case CallKind.Chat:
      return chatCostMicros(evidence, call.key);
    case CallKind.Order:
      return evidence.prices.orderMicros;
    case CallKind.Lookup:
      return evidence.prices.lookupMicros;
  }
}

export function answeredCalls(evidence: Evidence, organisationId: string): CallRecord[] {
  return evidence.calls.filter(
    (call) => call.organisationId === organisationId && call.outcome === CallOutcome.Answered,
  );
}

export function fundedMicrosAt(funding: readonly Funding[], organisationId: string, atMs: number): number {
  return funding
    .filter((entry) => entry.organisationId === organisationId && entry.atMs <= atMs)
    .reduce((sum, { amountMicros }) => sum + amountMicros, 0);
}

/** Number of times that engines and services started a request. */
export function startCount({ engines, services }: Evidence, key: string): number {
  const engineStarts = engines.reduce((sum, requests) => sum + (requests[key]?.starts ?? 0), 0);
  return engineStarts + executionCount(services, key);
}

export function executionCount(services: Evidence['services'], key: string): number {
  return services.reduce((sum, executions) => sum + (executions[key] ?? 0), 0);
}

export function sumMicros(amounts: readonly number[]): number {
  return amounts.reduce((sum, amount) => sum + amount, 0);
}
