/** Whether a request may have run. Every error returned to a caller includes a verdict. */
export enum Verdict {
  DidNotRun = 'did-not-run',
  MayHaveRun = 'may-have-run',
  Ran = 'ran',
}

/** Why a request was refused. The values are stable, because callers and dashboards match on them. */
export enum RefusalReason {
  Unauthenticated = 'unauthenticated',
  MalformedRequest = 'malformed-request',
  UnknownService = 'unknown-service',
  NotReady = 'not-ready',
  Draining = 'draining',
  BudgetExhausted = 'budget-exhausted',
  StoreUnavailable = 'store-unavailable',
  Paused = 'paused',
  QueueFull = 'queue-full',
  DeadlineExceeded = 'deadline-exceeded',
  NoUpstream = 'no-upstream',
  UpstreamFailed = 'upstream-failed',
  IdentityInUse = 'identity-in-use',
}

/** RFC 9457 problem details with extension members. */
export interface Problem {
  readonly status: number;
  readonly title: string;
  readonly detail: string;
  readonly reason: RefusalReason;
  readonly verdict: Verdict;
  readonly requestId: string | undefined;
  readonly retryAfterSeconds: number | undefined;
}
