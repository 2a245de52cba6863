import type { CallRecord, Evidence, Finding } from './types.ts';
import { CallKind, CallOutcome } from './types.ts';
import {
  answeredCalls,
  executionCount,
  fundedMicrosAt,
  startCount,
  sumMicros,
  usageMicros,
} from './usage.ts';

export interface Overspend {
  readonly organisationId: string;
  readonly amountMicros: number;
}

function finding(call: Pick<CallRecord, 'organisationId' | 'key'>, detail: string): Finding {
  return { organisationId: call.organisationId, key: call.key, detail };
}

function organisationIds(evidence: Evidence): string[] {
  const ids = [...evidence.budgets, ...evidence.funding, ...evidence.calls];
  return [...new Set(ids.map(({ organisationId }) => organisationId))];
}

/** Money beyond the funding, by the table's rows and by what answered requests really used. */
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
      answeredCalls(evidence, organisationId).map((call) => usageMicros(evidence, call)),
    );
    const worstMicros = Math.max(committedMicros, billedMicros, usedMicros);
    return { organisationId, amountMicros: Math.max(0, worstMicros - fundedMicros) };
  });
  return overspends.filter(({ amountMicros }) => amountMicros > 0);
}

/** Request identities that were charged more than once. */
export function findBilledTwice(evidence: Evidence): Finding[] {
  const seen = new Map<string, number>();
  for (const { organisationId, key } of evidence.bills) {
    const identity = `${organisationId}/${key}`;
    seen.set(identity, (seen.get(identity) ?? 0) + 1);
  }
  const repeated = evidence.bills.filter(
    ({ organisationId, key }, index) =>
      (seen.get(`${organisationId}/${key}`) ?? 0) > 1 &&
      evidence.bills.findIndex((bill) => bill.organisationId === organisationId && bill.key === key) ===
        index,
  );
  return repeated.map((bill) =>
    finding(bill, `billed ${seen.get(`${bill.organisationId}/${bill.key}`) ?? 0} times`),
  );
}

/** A settled amount that differs from the sum of the bills: a charge without an identity, or the reverse. */
export function findUnexplainedCharges(evidence: Evidence): Finding[] {
  return evidence.budgets.flatMap(({ organisationId, settledMicros }) => {
    const billed = evidence.bills.filter((bill) => bill.organisationId === organisationId);
    const differenceMicros = settledMicros - sumMicros(billed.map(({ amountMicros }) => amountMicros));
    const detail = `settled amount differs from the bills by ${differenceMicros} micros`;
    return differenceMicros === 0 ? [] : [{ organisationId, key: '', detail }];
  });
}

/** Outstanding shares that do not add up to the allocated amount: money was created or lost. */
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

/** Non-idempotent requests that more than one execution was counted for. */
export function findRanTwice(evidence: Evidence): Finding[] {
  const orders = evidence.calls.filter(({ kind }) => kind === CallKind.Order);
  return orders.flatMap((call) => {
    const count = executionCount(evidence.services, call.key);
    return count > 1 ? [finding(call, `executed ${count} times`)] : [];
  });
}

/** Requests told "did not run" that an upstream started. */
export function findUntruthfulRefusals(evidence: Evidence): Finding[] {
  const refused = evidence.calls.filter(({ outcome }) => outcome === CallOutcome.RefusedNotRun);
  return refused.flatMap((call) => {
    const count = startCount(evidence, call.key);
    return count > 0 ? [finding(call, `told did-not-run, but started ${count} times`)] : [];
  });
}

/** Answers without a bill, and requests that ended without an answer or a truthful refusal. */
export function findLost(evidence: Evidence): Finding[] {
  const billed = new Set(evidence.bills.map(({ organisationId, key }) => `${organisationId}/${key}`));
  const lost = evidence.calls.flatMap((call) => {
    switch (call.outcome) {
      case CallOutcome.Answered: {
        const isBilled = billed.has(`${call.organisationId}/${call.key}`);
        return isBilled ? [] : [finding(call, 'answered, but not billed')];
      }
      case CallOutcome.NoAnswer:
        return [finding(call, `ended without an answer or a verdict: ${call.detail}`)];
      case CallOutcome.WrongAnswer:
      case CallOutcome.RefusedNotRun:
      case CallOutcome.RefusedMayHaveRun:
        return [];
    }
  });
  return [...lost, ...findUntruthfulRefusals(evidence)];
}

/** Answers that were cut short or belong to another request. */
export function findWrongAnswers(evidence: Evidence): Finding[] {
  return evidence.calls
    .filter(({ outcome }) => outcome === CallOutcome.WrongAnswer)
    .map((call) => finding(call, call.detail));
}

/** Refusals of requests that the organisation's money covered while an engine was up. */
export function findFalseRefusals(evidence: Evidence): Finding[] {
  const refused = evidence.calls.filter(
    ({ outcome, endedAtMs }) => outcome === CallOutcome.RefusedNotRun && evidence.engineUpAt(endedAtMs),
  );
  return refused.flatMap((call) => {
    const { organisationId, endedAtMs, worstCaseMicros, detail } = call;
    const earlier = answeredCalls(evidence, organisationId).filter((other) => other.endedAtMs <= endedAtMs);
    const spentMicros = sumMicros(earlier.map((other) => usageMicros(evidence, other)));
    const leftMicros = fundedMicrosAt(evidence.funding, organisationId, endedAtMs) - spentMicros;
    return leftMicros >= worstCaseMicros
      ? [finding(call, `refused (${detail}) with ${leftMicros} micros left`)]
      : [];
  });
}
