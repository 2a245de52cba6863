import type { AuditReport } from '../auditor/audit.ts';
import type { CallRecord, Finding } from '../auditor/types.ts';
import { CallOutcome } from '../auditor/types.ts';

const MAX_LINES_PER_KIND = 5;

function formatFindings(kind: string, findings: readonly Finding[]): string[] {
  const shown = findings.slice(0, MAX_LINES_PER_KIND);
  const lines = shown.map(({ organisationId, key, detail }) => `${kind}: ${organisationId} ${key} ${detail}`);
  const hiddenCount = findings.length - shown.length;
  return hiddenCount > 0 ? [...lines, `${kind}: ${hiddenCount} more`] : lines;
}

/** Formats the findings, at most `MAX_LINES_PER_KIND` of each kind. */
export function findingLines({ overspends, ...report }: AuditReport): string[] {
  const overspendLines = overspends.map(
    ({ organisationId, amountMicros }) => `overspends: ${organisationId} by ${amountMicros} micros`,
  );
  return [
    ...overspendLines,
    ...Object.entries(report).flatMap(([kind, findings]) => formatFindings(kind, findings)),
  ];
}

const SLOWEST_COUNT = 3;

/** Formats the slowest answers with the results of their attempts, to explain the high percentiles. */
export function slowestLines(calls: readonly CallRecord[]): string[] {
  const durationMs = (call: CallRecord) => call.endedAtMs - call.startedAtMs;
  const answered = calls.filter(({ outcome }) => outcome === CallOutcome.Answered);
  const slowest = answered.sort((a, b) => durationMs(b) - durationMs(a)).slice(0, SLOWEST_COUNT);
  return slowest.map((call) => `slow: ${call.key} ${call.kind} ${durationMs(call)} ms (${call.detail})`);
}

/** Formats the number of refused requests for each sequence of attempt results. */
export function refusalLines(calls: readonly CallRecord[]): string[] {
  const counts = new Map<string, number>();
  for (const { outcome, detail } of calls) {
    if (outcome === CallOutcome.RefusedNotRun || outcome === CallOutcome.RefusedMayHaveRun) {
      counts.set(detail, (counts.get(detail) ?? 0) + 1);
    }
  }
  return [...counts].map(([detail, count]) => `refused: ${count} times (${detail})`);
}
