import type { CallRecord, Evidence, Finding } from './types.ts';
import { CallKind, CallOutcome } from './types.ts';
import {
  answeredCalls,
  executionCount,
  fundedMicrosAt,
  startCount,
  sumMicros,
  usageCostMicros,
} from './usage.ts';

export interface Overspend {
  readonly organisationId: string;
  readonly amountMicros: number;
}

function createFinding(call: Pick<CallRecord, 'organisationId' | 'key'>, detail: string): Finding {
  return { organisationId: call.organisationId, key: call.key, detail };
}

function organisationIds(evidence: Evidence): string[] {
  const ids = [...evidence.budgets, ...evidence.funding, ...evidence.calls];
  return [...new Set(ids.map(({ organisationId }) => organisationId))];
}

/**
 * Organisations whose money exceeds their funding: the higher of the amounts in the table and the actual usage of
 * answered requests.
 */
export function findOverspend(evidence: Evidence): Overspend[] {
  const overspends = organisationIds(evidence).map((organisationId) => {
    const fundedMicros = fundedMicrosAt(evidence.funding, organisationId, Infinity);
    const budget = evidence.budgets.find((row) => row.organisationId === organisationId);
    const committedMicros =
      (budget?.settledMicros ?? 0) + (budget?.allocatedMicros ?? 0) + (budget?.heldMicros ?? 0);
    const billedMicros = sumMicros(
      evidence.bills
        .filter((bill) => bill.organisationId === organisationId)
        .map((bill) => bill.amountMicros),
    );
    const usedMicros = sumMicros(
      answeredCalls(evidence, organisationId).map((call) => usageCostMicros(evidence, call)),
    );
    const highestMicros = Math.max(committedMicros, billedMicros, usedMicros);
    return { organisationId, amountMicros: Math.max(0, highestMicros - fundedMicros) };
  });
  return overspends.filter(({ amountMicros }) => amountMicros > 0);
}

/** Requests that were billed more than once. */
export function findBilledTwice(evidence: Evidence): Finding[] {
  const billCounts = new Map<string, number>();
  for (const { organisationId, key } of evidence.bills) {
    const identity = `${organisationId}/${key}`;
    billCounts.set(identity, (billCounts.get(identity) ?? 0) + 1);
  }
  const duplicates = evidence.bills.filter(
    ({ organisationId, key }, index) =>
      (billCounts.get(`${organisationId}/${key}`) ?? 0) > 1 &&
      evidence.bills.findIndex((bill) => bill.organisationId === organisationId && bill.key === key) ===
        index,
  );
  return duplicates.map((bill) =>
    createFinding(bill, `billed ${billCounts.get(`${bill.organisationId}/${bill.key}`) ?? 0} times`),
  );
}

/** Settled amounts that differ from the sum of the bills: money was charged without a bill, or the reverse. */
export function findUnexplainedCharges(evidence: Evidence): Finding[] {
  return evidence.budgets.flatMap(({ organisationId, settledMicros }) => {
    const billed = evidence.bills.filter((bill) => bill.organisationId === organisationId);
    const differenceMicros = settledMicros - sumMicros(billed.map(({ amountMicros }) => amountMicros));
    const detail = `settled amount differs from the bills by ${differenceMicros} micros`;
    return differenceMicros === 0 ? [] : [{ organisationId, key: '', detail }];
  });
}

/** Allocated amounts that differ from the sum of the outstanding shares: money was created or lost. */
export function findShareMismatches(evidence: Evidence): Finding[] {
  return evidence.budgets.flatMap(({ organisationId, allocatedMicros }) => {
    const shares = evidence.shares.filter((share) => share.organisationId === organisationId);
    const outstanding = shares.map(
      ({ grantedMicros, settledMicros, returnedMicros }) => grantedMicros - settledMicros - returnedMicros,
    );
    const differenceMicros = allocatedMicros - sumMicros(outstanding);
    const detail = `allocated amount differs from the outstanding shares by ${differenceMicros} micros`;
    return differenceMicros === 0 ? [] : [{ organisationId, key: '', detail }];
  });
}

/** Non-idempotent requests that were executed more than once. */
export function findRanTwice(evidence: Evidence): Finding[] {
  const orders = evidence.calls.filter(({ kind }) => kind === CallKind.Order);
  return orders.flatMap((call) => {
    const count = executionCount(evidence.services, call.key);
    return count > 1 ? [createFinding(call, `executed ${count} times`)] : [];
  });
}

/** Requests that were refused with the verdict did-not-run although an upstream started them. */
export function findUntruthfulRefusals(evidence: Evidence): Finding[] {
  const refused = evidence.calls.filter(({ outcome }) => outcome === CallOutcome.RefusedNotRun);
  return refused.flatMap((call) => {
    const count = startCount(evidence, call.key);
    return count > 0 ? [createFinding(call, `refused with did-not-run, but started ${count} times`)] : [];
  });
}

/** Answers without a bill, and requests that got neither an answer nor a truthful refusal. */
export function findLost(evidence: Evidence): Finding[] {
  const billed = new Set(evidence.bills.map(({ organisationId, key }) => `${organisationId}/${key}`));
  const lost = evidence.calls.flatMap((call) => {
    switch (call.outcome) {
      case CallOutcome.Answered: {
        const isBilled = billed.has(`${call.organisationId}/${call.key}`);
        return isBilled ? [] : [createFinding(call, 'answered, but not billed')];
      }
      case CallOutcome.NoAnswer:
        return [createFinding(call, `ended without an answer or a verdict: ${call.detail}`)];
      case CallOutcome.WrongAnswer:
      case CallOutcome.RefusedNotRun:
      case CallOutcome.RefusedMayHaveRun:
        return [];
    }
  });
  return [...lost, ...findUntruthfulRefusals(evidence)];
}

/** Requests whose answer was truncated or belonged to another request. */
export function findWrongAnswers(evidence: Evidence): Finding[] {
  return evidence.calls
    .filter(({ outcome }) => outcome === CallOutcome.WrongAnswer)
    .map((call) => createFinding(call, call.detail));
}

/** Requests that were refused although the organisation had enough money and an engine was up. */
export function findFalseRefusals(evidence: Evidence): Finding[] {
  const refused = evidence.calls.filter(
    ({ outcome, endedAtMs }) => outcome === CallOutcome.RefusedNotRun && evidence.engineUpAt(endedAtMs),
  );
  return refused.flatMap((call) => {
    const { organisationId, endedAtMs, worstCaseMicros, detail } = call;
    const earlier = answeredCalls(evidence, organisationId).filter((other) => other.endedAtMs <= endedAtMs);
    const spentMicros = sumMicros(earlier.map((other) => usageCostMicros(evidence, other)));
    const leftMicros = fundedMicrosAt(evidence.funding, organisationId, endedAtMs) - spentMicros;
    return leftMicros >= worstCaseMicros
      ? [createFinding(call, `refused (${detail}) with ${leftMicros} micros left`)]
      : [];
  });
}
