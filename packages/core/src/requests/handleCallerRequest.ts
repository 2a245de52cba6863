import type { EventOf } from '../blackboard.ts';
import type { CoreContext } from '../context.ts';
import type { Task } from '../scheduler/task.ts';
import { EffectKind } from '../types/effects.ts';
import type { EventKind } from '../types/events.ts';
import { RefusalReason, Verdict } from '../types/verdict.ts';

/** Serves one request of a caller from its arrival to its answer or refusal. */
export function* handleCallerRequest(
  context: CoreContext,
  event: EventOf<EventKind.CallerArrived>,
): Task<void> {
  context.emit({
    kind: EffectKind.CallerProblem,
    exchangeId: event.exchangeId,
    started: false,
    problem: {
      status: 503,
      title: 'Not ready',
      detail: 'This router serves no requests yet. Try another address.',
      reason: RefusalReason.NotReady,
      verdict: Verdict.DidNotRun,
      requestId: undefined,
      retryAfterSeconds: 1,
    },
  });
}
