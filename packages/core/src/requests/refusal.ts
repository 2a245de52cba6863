import type { CoreContext } from '../context.ts';
import { EffectKind, MetricKind } from '../types/effects.ts';
import { RefusalReason } from '../types/verdict.ts';
import type { Problem } from '../types/verdict.ts';
import { emitMetric } from './requestMetrics.ts';
import type { RunningRequest } from './types.ts';
import type { AttemptRecord } from './verdict.ts';
import { verdictOf } from './verdict.ts';

interface RefusalText {
  readonly status: number;
  readonly title: string;
  readonly detail: string;
  readonly retryAfterSeconds: number | undefined;
}

const REFUSAL_TEXTS: Readonly<Record<RefusalReason, RefusalText>> = {
  [RefusalReason.Unauthenticated]: {
    status: 401,
    title: 'Unknown key',
    detail: 'Send a key of your organisation as "Authorization: Bearer KEY".',
    retryAfterSeconds: undefined,
  },
  [RefusalReason.MalformedRequest]: {
    status: 400,
    title: 'Malformed request',
    detail: 'Correct the request before you send it again.',
    retryAfterSeconds: undefined,
  },
  [RefusalReason.UnknownService]: {
    status: 404,
    title: 'Unknown model, service or operation',
    detail: 'Use a model or an operation that the configuration lists.',
    retryAfterSeconds: undefined,
  },
  [RefusalReason.NotReady]: {
    status: 503,
    title: 'Not ready',
    detail: 'This router is starting. Try another address.',
    retryAfterSeconds: 1,
  },
  [RefusalReason.Draining]: {
    status: 503,
    title: 'Router is stopping',
    detail: 'Ask GET /v1/entry for the current addresses and use another one.',
    retryAfterSeconds: 1,
  },
  [RefusalReason.BudgetExhausted]: {
    status: 402,
    title: 'Budget exhausted',
    detail: 'The budget does not cover the worst case of this request. Lower the output limit or top up.',
    retryAfterSeconds: undefined,
  },
  [RefusalReason.StoreUnavailable]: {
    status: 503,
    title: 'Store unavailable',
    detail: 'The store did not answer in time. Send the request again later with the same Idempotency-Key.',
    retryAfterSeconds: 2,
  },
  [RefusalReason.Paused]: {
    status: 503,
    title: 'Router was paused',
    detail: 'This router waits for its confirmation by the store. Try another address.',
    retryAfterSeconds: 1,
  },
  [RefusalReason.QueueFull]: {
    status: 429,
    title: 'Queue full',
    detail: 'Too many requests of this class wait. Send the request again later.',
    retryAfterSeconds: 2,
  },
  [RefusalReason.DeadlineExceeded]: {
    status: 504,
    title: 'Deadline exceeded',
    detail: 'The deadline of the request class passed before the answer was complete.',
    retryAfterSeconds: 1,
  },
  [RefusalReason.NoUpstream]: {
    status: 503,
    title: 'No upstream',
    detail: 'No upstream that serves this request can be used now.',
    retryAfterSeconds: 2,
  },
  [RefusalReason.UpstreamFailed]: {
    status: 502,
    title: 'Upstream failed',
    detail: 'The upstream failed before the answer was complete. Retry only with the same Idempotency-Key.',
    retryAfterSeconds: 1,
  },
  [RefusalReason.IdentityInUse]: {
    status: 409,
    title: 'Idempotency-Key in use',
    detail: 'This Idempotency-Key belongs to another request or its answer is no longer kept.',
    retryAfterSeconds: undefined,
  },
};

function buildProblem(
  reason: RefusalReason,
  requestId: string | undefined,
  attempts: readonly AttemptRecord[],
): Problem {
  return { ...REFUSAL_TEXTS[reason], reason, requestId, verdict: verdictOf(attempts) };
}

export interface ExchangeRefusal {
  readonly exchangeId: string;
  readonly reason: RefusalReason;
  readonly organisationId?: string;
  readonly classId?: string;
  readonly requestId?: string;
  readonly attempts?: readonly AttemptRecord[];
}

/** Refuses an exchange that is not attached to a running request. */
export function refuseExchange(context: CoreContext, refusal: ExchangeRefusal): void {
  const { exchangeId, reason, organisationId = '', classId = '', requestId, attempts = [] } = refusal;
  const problem = buildProblem(reason, requestId, attempts);
  context.emit({ kind: EffectKind.CallerProblem, exchangeId, problem, started: false });
  emitMetric(context, { organisationId, classId }, MetricKind.Refused, 1, reason);
}

/** Refuses a running request and reports the problem to all attached callers. */
export function refuseRun(context: CoreContext, run: RunningRequest, reason: RefusalReason): void {
  const problem = buildProblem(reason, run.requestId, run.attempts);
  for (const { exchangeId, started } of run.callers.values()) {
    context.emit({ kind: EffectKind.CallerProblem, exchangeId, problem, started });
  }
  emitMetric(context, run, MetricKind.Refused, 1, reason);
}
