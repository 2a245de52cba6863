import type { CrashReport, Probation, SuspectReport } from './types.ts';

/** Maximum length of the ids of parts and engines. */
const MAX_ID_LENGTH = 200;
/** Crashes of one report; more than a router keeps. */
const MAX_CRASHES = 32;
/** Deeper parts of one crash; more than a router keeps. */
const MAX_DEEPER_PARTS = 32;

/** Decodes a list of reports; undefined if it is none or too long. Invalid reports are left out. */
export function decodeReports(value: unknown, maxReports: number): readonly SuspectReport[] | undefined {
  if (!Array.isArray(value) || value.length > maxReports) {
    return undefined;
  }
  return value.flatMap((item) => decodeReport(item) ?? []);
}

/** Decodes a report; undefined if it is not valid. */
export function decodeReport(value: unknown): SuspectReport | undefined {
  const fields = asFields(value);
  const { partId, clearedAgeMs } = fields ?? {};
  const crashes = decodeCrashes(fields?.crashes);
  if (!isId(partId) || crashes === undefined) {
    return undefined;
  }
  return {
    partId,
    crashes,
    clearedAgeMs: isDuration(clearedAgeMs) ? clearedAgeMs : undefined,
    probation: decodeProbation(fields?.probation),
  };
}

function decodeCrashes(value: unknown): Readonly<Record<string, CrashReport>> | undefined {
  const fields = asFields(value);
  const entries = Object.entries(fields ?? {});
  const isValid =
    entries.length <= MAX_CRASHES && entries.every(([key, crash]) => isId(key) && isCrash(crash));
  return fields !== undefined && isValid ? (fields as Record<string, CrashReport>) : undefined;
}

function isCrash(value: unknown): value is CrashReport {
  const { ageMs, deeperPartIds } = asFields(value) ?? {};
  return (
    isDuration(ageMs) &&
    Array.isArray(deeperPartIds) &&
    deeperPartIds.length <= MAX_DEEPER_PARTS &&
    deeperPartIds.every(isId)
  );
}

function decodeProbation(value: unknown): Probation | undefined {
  const { revision, probes, dueInMs } = asFields(value) ?? {};
  return isCount(revision) && isCount(probes) && isDuration(dueInMs)
    ? { revision, probes, dueInMs }
    : undefined;
}

function asFields(value: unknown): Readonly<Record<string, unknown>> | undefined {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
    ? (value as Record<string, unknown>)
    : undefined;
}

function isId(value: unknown): value is string {
  return typeof value === 'string' && value.length > 0 && value.length <= MAX_ID_LENGTH;
}

function isDuration(value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}

function isCount(value: unknown): value is number {
  return typeof value === 'number' && Number.isSafeInteger(value) && value >= 0;
}
