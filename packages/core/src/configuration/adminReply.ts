import type { JsonValue } from '../types/table.ts';
import { Verdict } from '../types/verdict.ts';

/** Why an operator's request was refused. The values are stable because tools match on them. */
export enum AdminReason {
  NotFound = 'not-found',
  Malformed = 'malformed-request',
  Unauthenticated = 'unauthenticated',
  Forbidden = 'forbidden',
  Conflict = 'conflict',
  ChangeIdentifierInUse = 'change-identifier-in-use',
  InvalidConfiguration = 'invalid-configuration',
  StoreUnavailable = 'store-unavailable',
}

/** The response to an operator's request. */
export interface AdminReply {
  readonly status: number;
  readonly body: JsonValue;
}

export function accepted(body: JsonValue): AdminReply {
  return { status: 200, body };
}

export interface AdminRefusal {
  readonly status: number;
  readonly reason: AdminReason;
  readonly detail: string;
  readonly verdict?: Verdict;
  /** Additional members of the problem details. */
  readonly extraMembers?: Readonly<Record<string, JsonValue>>;
}

const TITLES: Readonly<Record<AdminReason, string>> = {
  [AdminReason.NotFound]: 'Not found',
  [AdminReason.Malformed]: 'Malformed request',
  [AdminReason.Unauthenticated]: 'Unknown operator key',
  [AdminReason.Forbidden]: 'Section not owned by this operator',
  [AdminReason.Conflict]: 'Section changed meanwhile',
  [AdminReason.ChangeIdentifierInUse]: 'Change identifier already used',
  [AdminReason.InvalidConfiguration]: 'Invalid configuration',
  [AdminReason.StoreUnavailable]: 'Store unavailable',
};

/** Builds a response with problem details (RFC 9457) that include the verdict. */
export function refused(refusal: AdminRefusal): AdminReply {
  const { status, reason, detail, verdict = Verdict.DidNotRun, extraMembers = {} } = refusal;
  return { status, body: { title: TITLES[reason], status, detail, reason, verdict, ...extraMembers } };
}

export function notFound(detail: string): AdminReply {
  return refused({ status: 404, reason: AdminReason.NotFound, detail });
}

export function malformed(detail: string): AdminReply {
  return refused({ status: 400, reason: AdminReason.Malformed, detail });
}

export function storeUnavailable(verdict: Verdict, detail: string): AdminReply {
  return refused({ status: 503, reason: AdminReason.StoreUnavailable, detail, verdict });
}
