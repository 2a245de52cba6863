export { audit, promisesHeld, summarise } from './auditor/audit.ts';
export type { AuditReport, AuditSummary } from './auditor/audit.ts';
export type { CallRecord, Evidence, Finding } from './auditor/types.ts';
export { CallKind, CallOutcome } from './auditor/types.ts';
