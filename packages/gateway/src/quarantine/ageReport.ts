import type { SuspectReport } from './types.ts';

/** Returns a report as it reads after a time in which nothing changed. */
export function ageReport(report: SuspectReport, elapsedMs: number): SuspectReport {
  const { crashes, clearedAgeMs, probation } = report;
  return {
    ...report,
    crashes: Object.fromEntries(
      Object.entries(crashes).map(([engineKey, crash]) => [
        engineKey,
        { ...crash, ageMs: crash.ageMs + elapsedMs },
      ]),
    ),
    clearedAgeMs: clearedAgeMs === undefined ? undefined : clearedAgeMs + elapsedMs,
    probation: probation && { ...probation, dueInMs: Math.max(0, probation.dueInMs - elapsedMs) },
  };
}
