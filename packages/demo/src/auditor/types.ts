import type { EngineAuditEntry } from '@pimentostall/standins';

export enum CallKind {
  Chat = 'chat',
  Order = 'order',
  Lookup = 'lookup',
}

export enum CallOutcome {
  /** The whole answer arrived and was the caller's own. */
  Answered = 'answered',
  /** An answer arrived that was cut short or belonged to another request. */
  WrongAnswer = 'wrongAnswer',
  /** Every attempt was refused with the verdict did-not-run. */
  RefusedNotRun = 'refusedNotRun',
  /** The last word was a refusal that says that the request may have run, or ran. */
  RefusedMayHaveRun = 'refusedMayHaveRun',
  /** The attempts ended without an answer or a verdict. */
  NoAnswer = 'noAnswer',
}

/** What a caller saw of one request, over all its attempts. */
export interface CallRecord {
  readonly organisationId: string;
  /** The Idempotency-Key; unique over all organisations of the demo. */
  readonly key: string;
  readonly kind: CallKind;
  readonly worstCaseMicros: number;
  readonly startedAtMs: number;
  readonly endedAtMs: number;
  readonly outcome: CallOutcome;
  /** What each attempt gave, in their order. */
  readonly detail: string;
  readonly attemptCount: number;
  /** Attempts that were cut off: they ended with neither an answer nor a verdict. */
  readonly brokenCount: number;
}

export interface BillEntry {
  readonly organisationId: string;
  readonly key: string;
  readonly amountMicros: number;
}

export interface BudgetState {
  readonly organisationId: string;
  readonly fundedMicros: number;
  readonly allocatedMicros: number;
  readonly settledMicros: number;
  readonly heldMicros: number;
}

export interface ShareAmounts {
  readonly organisationId: string;
  readonly grantedMicros: number;
  readonly settledMicros: number;
  readonly returnedMicros: number;
}

export interface Funding {
  readonly organisationId: string;
  readonly atMs: number;
  readonly amountMicros: number;
}

export interface AuditPrices {
  readonly promptMicrosPerToken: number;
  readonly outputMicrosPerToken: number;
  readonly orderMicros: number;
  readonly lookupMicros: number;
}

/** All evidence of one run: records of the callers and the stand-ins, never of routers. */
export interface Evidence {
  readonly funding: readonly Funding[];
  readonly calls: readonly CallRecord[];
  readonly bills: readonly BillEntry[];
  readonly budgets: readonly BudgetState[];
  readonly shares: readonly ShareAmounts[];
  /** One record per engine; keys are those of the callers. */
  readonly engines: readonly Readonly<Record<string, EngineAuditEntry>>[];
  /** One record per service process. */
  readonly services: readonly Readonly<Record<string, number>>[];
  readonly prices: AuditPrices;
  readonly engineUpAt: (atMs: number) => boolean;
}

/** A broken promise with its evidence. */
export interface Finding {
  readonly organisationId: string;
  readonly key: string;
  readonly detail: string;
}
