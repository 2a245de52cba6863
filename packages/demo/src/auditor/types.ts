import type { EngineAuditEntry } from '@pimentostall/standins';

export enum CallKind {
  Chat = 'chat',
  Order = 'order',
  Lookup = 'lookup',
}

export enum CallOutcome {
  /** The complete answer to this request arrived. */
  Answered = 'answered',
  /** An answer arrived that was truncated or belonged to another request. */
  WrongAnswer = 'wrongAnswer',
  /** Every attempt was refused with the verdict did-not-run. */
  RefusedNotRun = 'refusedNotRun',
  /** The last response was a refusal, and the request may have run in some attempt. */
  RefusedMayHaveRun = 'refusedMayHaveRun',
  /** The attempts ended without an answer or a verdict. */
  NoAnswer = 'noAnswer',
}

/** Outcome of one request as its caller saw it, over all attempts. */
export interface CallRecord {
  readonly organisationId: string;
  /** The Idempotency-Key; unique across all organisations of the demo. */
  readonly key: string;
  readonly kind: CallKind;
  readonly worstCaseMicros: number;
  readonly startedAtMs: number;
  readonly endedAtMs: number;
  readonly outcome: CallOutcome;
  /** Results of all attempts, in order. */
  readonly detail: string;
  readonly attemptCount: number;
  /** Number of attempts that ended with neither an answer nor a verdict. */
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

/** Evidence of one run. It comes from the callers and the stand-ins only, never from the routers under audit. */
export interface Evidence {
  readonly funding: readonly Funding[];
  readonly calls: readonly CallRecord[];
  readonly bills: readonly BillEntry[];
  readonly budgets: readonly BudgetState[];
  readonly shares: readonly ShareAmounts[];
  /** One record for each engine, by the idempotency key of the caller. */
  readonly engines: readonly Readonly<Record<string, EngineAuditEntry>>[];
  /** Executions by idempotency key, one record for each service process. */
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
