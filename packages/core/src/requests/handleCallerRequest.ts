import type { EventOf } from '../blackboard.ts';
import type { CoreContext } from '../context.ts';
import { entryAddresses } from '../entry/entryAddresses.ts';
import type { Task } from '../scheduler/task.ts';
import { EffectKind } from '../types/effects.ts';
import type { EventKind } from '../types/events.ts';
import { RouterState } from '../types/messages.ts';
import { CallerRequestKind } from '../types/requests.ts';
import { RefusalReason } from '../types/verdict.ts';
import { admitRequest } from './admission.ts';
import { serveChat } from './chatRequest.ts';
import { refuseExchange } from './refusal.ts';
import { serveServiceCall } from './serviceCall.ts';

/** Keys are stored in table rows and in memory, so their length is limited. */
const MAX_IDEMPOTENCY_KEY_LENGTH = 255;

/** Handles a caller's request from arrival to response or refusal. */
export function* handleCallerRequest(
  context: CoreContext,
  event: EventOf<EventKind.CallerArrived>,
): Task<void> {
  const { exchangeId, request, metadata } = event;
  if (request.kind === CallerRequestKind.Health) {
    sendHealth(context, exchangeId);
    return;
  }
  const admission = admitRequest(context, exchangeId, metadata);
  const requestId = metadata.idempotencyKey;
  if ('refusal' in admission) {
    refuseExchange(context, { exchangeId, reason: admission.refusal, requestId });
    return;
  }
  const { organisationId } = admission.admitted.organisation;
  if (request.kind === CallerRequestKind.Entry) {
    sendEntry(context, exchangeId, organisationId);
    return;
  }
  if (context.board.routerState === RouterState.Starting) {
    refuseExchange(context, { exchangeId, organisationId, reason: RefusalReason.NotReady, requestId });
    return;
  }
  if (!context.board.acceptsRequests) {
    refuseExchange(context, { exchangeId, organisationId, reason: RefusalReason.Draining, requestId });
    return;
  }
  if (requestId !== undefined && (requestId === '' || requestId.length > MAX_IDEMPOTENCY_KEY_LENGTH)) {
    refuseExchange(context, { exchangeId, organisationId, reason: RefusalReason.MalformedRequest });
    return;
  }
  switch (request.kind) {
    case CallerRequestKind.ChatCompletion:
      yield* serveChat(context, admission.admitted, request);
      return;
    case CallerRequestKind.ServiceCall:
      yield* serveServiceCall(context, admission.admitted, request);
      return;
  }
}

function sendJson(context: CoreContext, exchangeId: string, status: number, value: unknown): void {
  const headers = { 'Content-Type': 'application/json' };
  context.emit({ kind: EffectKind.CallerStart, exchangeId, status, headers });
  context.emit({ kind: EffectKind.CallerEnd, exchangeId, data: JSON.stringify(value) });
}

/** Reports ready only while requests are accepted, so that health checks take a draining router out of rotation. */
function sendHealth(context: CoreContext, exchangeId: string): void {
  const { configuration, acceptsRequests, routerState } = context.board;
  const isReady = configuration !== undefined && acceptsRequests && routerState !== RouterState.Starting;
  const body = { ready: isReady, state: routerState, configurationRevision: configuration?.revision ?? 0 };
  sendJson(context, exchangeId, isReady ? 200 : 503, body);
}

function sendEntry(context: CoreContext, exchangeId: string, organisationId: string): void {
  const addresses = entryAddresses(context, organisationId);
  sendJson(context, exchangeId, 200, { addresses, keepMs: context.options.entryKeepMs });
}
