import type { AuditReport } from '../auditor/audit.ts';
import type { Finding } from '../auditor/types.ts';

const MAX_LINES_PER_KIND = 5;

function linesOf(kind: string, findings: readonly Finding[]): string[] {
  const shown = findings.slice(0, MAX_LINES_PER_KIND);
  const lines = shown.map(({ organisationId, key, detail }) => `${kind}: ${organisationId} ${key} ${detail}`);
  const hiddenCount = findings.length - shown.length;
  return hiddenCount > 0 ? [...lines, `${kind}: ${hiddenCount} more`] : lines;
}

/** The findings as lines of text, a few of each kind. */
export function findingLines({ overspends, ...report }: AuditReport): string[] {
  const overspendLines = overspends.map(
    ({ organisationId, amountMicros }) => `overspends: ${organisationId} by ${amountMicros} micros`,
  );
  return [...overspendLines, ...Object.entries(report).flatMap(([kind, found]) => linesOf(kind, found))];
}
