import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { AuditSummary } from '../audit.ts';
import { audit, promisesHeld, summarise } from '../audit.ts';
import type { CallRecord, Evidence } from '../types.ts';
import { CallKind, CallOutcome } from '../types.ts';

const ORGANISATION = 'org';

function call(key: string, fields: Partial<CallRecord> = {}): CallRecord {
  return {
    organisationId: ORGANISATION,
    key,
    kind: CallKind.Chat,
    worstCaseMicros: 400,
    startedAtMs: 0,
    endedAtMs: 100,
    outcome: CallOutcome.Answered,
    detail: '',
    attemptCount: 1,
    brokenCount: 0,
    ...fields,
  };
}

function bill(key: string, amountMicros: number) {
  return { organisationId: ORGANISATION, key, amountMicros };
}

const ENGINE_ENTRY = {
  starts: 1,
  resumes: 0,
  outputTokens: 20,
  promptTokens: 50,
  startedAtMs: [1],
  finished: true,
};

/** Evidence of a run without violations: a chat of 300 micros and an order of 2,000. */
function cleanEvidence(): Evidence {
  return {
    funding: [{ organisationId: ORGANISATION, atMs: 0, amountMicros: 5_000 }],
    calls: [call('chat-1'), call('order-1', { kind: CallKind.Order })],
    bills: [bill('chat-1', 300), bill('order-1', 2_000)],
    budgets: [
      {
        organisationId: ORGANISATION,
        fundedMicros: 5_000,
        allocatedMicros: 1_000,
        settledMicros: 2_300,
        heldMicros: 0,
      },
    ],
    shares: [{ organisationId: ORGANISATION, grantedMicros: 3_300, settledMicros: 2_300, returnedMicros: 0 }],
    engines: [{ 'chat-1': ENGINE_ENTRY }, {}],
    services: [{ 'order-1': 1 }, {}],
    prices: { promptMicrosPerToken: 2, outputMicrosPerToken: 10, orderMicros: 2_000, lookupMicros: 100 },
    engineUpAt: () => true,
  };
}

function summaryOf(changes: Partial<Evidence>): AuditSummary {
  const evidence = { ...cleanEvidence(), ...changes };
  return summarise(evidence, audit(evidence));
}

function budgetWith(fields: object): Evidence['budgets'] {
  return cleanEvidence().budgets.map((row) => ({ ...row, ...fields }));
}

interface InjectedFault {
  readonly fault: string;
  readonly field: keyof AuditSummary;
  readonly changes: Partial<Evidence>;
}

const { calls, bills } = cleanEvidence();
const notRun = { outcome: CallOutcome.RefusedNotRun };
const INJECTED_FAULTS: readonly InjectedFault[] = [
  {
    fault: 'a request billed twice',
    field: 'billedTwice',
    changes: { bills: [...bills, bill('chat-1', 300)] },
  },
  {
    fault: 'a charge without a bill',
    field: 'unexplainedCharges',
    changes: { budgets: budgetWith({ settledMicros: 2_600 }) },
  },
  {
    fault: 'an order executed by two services',
    field: 'ranTwice',
    changes: { services: [{ 'order-1': 1 }, { 'order-1': 1 }] },
  },
  { fault: 'an answer without a bill', field: 'lost', changes: { bills: bills.slice(1) } },
  {
    fault: 'a request without an answer or a verdict',
    field: 'lost',
    changes: { calls: [...calls, call('gone', { outcome: CallOutcome.NoAnswer })] },
  },
  {
    fault: 'an executed order that was refused with did-not-run',
    field: 'lost',
    changes: { calls: [calls[0] ?? call('chat-1'), call('order-1', { kind: CallKind.Order, ...notRun })] },
  },
  {
    fault: 'settled money beyond the funding',
    field: 'overspendMicros',
    changes: { budgets: budgetWith({ settledMicros: 5_001, allocatedMicros: 0 }) },
  },
  {
    fault: 'money in shares beyond the funding',
    field: 'overspendMicros',
    changes: { budgets: budgetWith({ allocatedMicros: 2_701 }) },
  },
  {
    fault: 'unbilled engine usage beyond the funding',
    field: 'overspendMicros',
    changes: { engines: [{ 'chat-1': { ...ENGINE_ENTRY, outputTokens: 1_000 } }] },
  },
  {
    fault: 'an answer to another request',
    field: 'wrongAnswers',
    changes: { calls: [...calls, call('mixed', { outcome: CallOutcome.WrongAnswer })] },
  },
  {
    fault: 'shares that do not add up',
    field: 'shareMismatches',
    changes: { shares: [] },
  },
];

describe('audit', () => {
  it('finds no violation in a clean run', () => {
    const summary = summaryOf({});
    assert.deepEqual({ answered: summary.answered, refused: summary.refused }, { answered: 2, refused: 0 });
    assert.equal(promisesHeld(summary), true);
  });

  for (const { fault, field, changes } of INJECTED_FAULTS) {
    it(`flags ${fault}`, () => {
      const summary = summaryOf(changes);
      assert.ok(summary[field] > 0, `${field} is ${summary[field]}`);
      assert.equal(promisesHeld(summary), false);
    });
  }

  it('fails a run without answers (it proves nothing)', () => {
    const empty = { calls: [], bills: [], budgets: [], shares: [], engines: [], services: [] };
    assert.equal(promisesHeld(summaryOf(empty)), false);
  });

  it('counts a refusal as false only if money and an engine were available', () => {
    const refused = (fields: Partial<CallRecord>) => ({
      calls: [...calls, call('late', { ...notRun, endedAtMs: 200, ...fields })],
    });
    assert.equal(summaryOf(refused({ worstCaseMicros: 2_700 })).falseRefusals, 1);
    assert.equal(summaryOf(refused({ worstCaseMicros: 2_701 })).falseRefusals, 0);
    assert.equal(summaryOf({ ...refused({}), engineUpAt: () => false }).falseRefusals, 0);
  });

  it('judges a refusal by the funding at its time (a later top-up does not make it false)', () => {
    const calls = [call('early', { ...notRun, endedAtMs: 50, worstCaseMicros: 400 })];
    const funding = [{ organisationId: ORGANISATION, atMs: 60, amountMicros: 5_000 }];
    assert.equal(summaryOf({ calls, funding }).falseRefusals, 0);
  });
});
