import type { Overspend } from './checks.ts';
import {
  findBilledTwice,
  findFalseRefusals,
  findLost,
  findOverspend,
  findRanTwice,
  findShareMismatches,
  findUnexplainedCharges,
  findUntruthfulRefusals,
  findWrongAnswers,
} from './checks.ts';
import type { Evidence, Finding } from './types.ts';
import { CallOutcome } from './types.ts';
import { sumMicros } from './usage.ts';

export interface AuditReport {
  readonly overspends: readonly Overspend[];
  readonly billedTwice: readonly Finding[];
  readonly unexplainedCharges: readonly Finding[];
  readonly shareMismatches: readonly Finding[];
  readonly ranTwice: readonly Finding[];
  readonly lost: readonly Finding[];
  readonly untruthfulRefusals: readonly Finding[];
  readonly wrongAnswers: readonly Finding[];
  readonly falseRefusals: readonly Finding[];
}

/** Totals of an audit; printed as JSON on the last line of the demo. */
export interface AuditSummary {
  readonly answered: number;
  readonly refused: number;
  readonly overspendMicros: number;
  readonly billedTwice: number;
  readonly ranTwice: number;
  readonly lost: number;
  readonly falseRefusals: number;
  readonly wrongAnswers: number;
  readonly untruthfulRefusals: number;
  readonly unexplainedCharges: number;
  readonly shareMismatches: number;
}

export function audit(evidence: Evidence): AuditReport {
  return {
    overspends: findOverspend(evidence),
    billedTwice: findBilledTwice(evidence),
    unexplainedCharges: findUnexplainedCharges(evidence),
    shareMismatches: findShareMismatches(evidence),
    ranTwice: findRanTwice(evidence),
    lost: findLost(evidence),
    untruthfulRefusals: findUntruthfulRefusals(evidence),
    wrongAnswers: findWrongAnswers(evidence),
    falseRefusals: findFalseRefusals(evidence),
  };
}

export function summarise(evidence: Evidence, report: AuditReport): AuditSummary {
  const { Answered, RefusedNotRun, RefusedMayHaveRun } = CallOutcome;
  const countCalls = (...outcomes: CallOutcome[]) =>
    evidence.calls.filter(({ outcome }) => outcomes.includes(outcome)).length;
  return {
    answered: countCalls(Answered),
    refused: countCalls(RefusedNotRun, RefusedMayHaveRun),
    overspendMicros: sumMicros(report.overspends.map(({ amountMicros }) => amountMicros)),
    billedTwice: report.billedTwice.length,
    ranTwice: report.ranTwice.length,
    lost: report.lost.length,
    falseRefusals: report.falseRefusals.length,
    wrongAnswers: report.wrongAnswers.length,
    untruthfulRefusals: report.untruthfulRefusals.length,
    unexplainedCharges: report.unexplainedCharges.length,
    shareMismatches: report.shareMismatches.length,
  };
}

export function addSummaries(a: AuditSummary, b: AuditSummary): AuditSummary {
  const fields = Object.keys(a) as (keyof AuditSummary)[];
  const sums = fields.map((field) => [field, a[field] + b[field]] as const);
  return { ...a, ...Object.fromEntries(sums) };
}

/** Totals that must be 0. False refusals are only reported: no promise rules them out. */
const VIOLATION_FIELDS = [
  'overspendMicros',
  'billedTwice',
  'ranTwice',
  'lost',
  'wrongAnswers',
  'untruthfulRefusals',
  'unexplainedCharges',
  'shareMismatches',
] as const satisfies readonly (keyof AuditSummary)[];

/** Whether all promises held. A run without answers proves nothing and therefore fails. */
export function promisesHeld(summary: AuditSummary): boolean {
  return summary.answered > 0 && VIOLATION_FIELDS.every((field) => summary[field] === 0);
}
