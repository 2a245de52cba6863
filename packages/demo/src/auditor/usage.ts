import type { CallRecord, Evidence, Funding } from './types.ts';
import { CallKind, CallOutcome } from './types.ts';

/** Price of what the engines really generated for a request; the longest attempt counts. */
function chatMicros({ engines, prices }: Evidence, key: string): number {
  const attempts = engines.flatMap((requests) => requests[key] ?? []);
  const amounts = attempts.map(
    ({ promptTokens, outputTokens }) =>
      promptTokens * prices.promptMicrosPerToken + outputTokens * prices.outputMicrosPerToken,
  );
  return Math.max(0, ...amounts);
}

/** Price of an answered request by the stand-ins' records. */
export function usageMicros(evidence: Evidence, call: CallRecord): number {
  switch (call.kind) {
    case CallKind.Chat:
      return chatMicros(evidence, call.key);
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

/** How often the upstreams started a request, over all engines and services. */
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
