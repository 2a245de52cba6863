import type { CoreContext } from '../context.ts';
import type { Task } from '../scheduler/task.ts';
import { EffectKind } from '../types/effects.ts';
import type { AdminRequest } from '../types/events.ts';
import type { AdminReply } from './adminReply.ts';
import { notFound } from './adminReply.ts';
import { viewBudget, viewConfiguration, viewStatus } from './adminViews.ts';
import { authenticateOperator } from './authenticateOperator.ts';
import { putSection } from './putSection.ts';
import type { Operator } from './types.ts';

/** Handles an operator's request to the administration port. */
export function* handleAdminRequest(
  context: CoreContext,
  exchangeId: string,
  request: AdminRequest,
): Task<void> {
  const { adminExchanges } = context.board;
  adminExchanges.add(exchangeId);
  try {
    const operator = yield* authenticateOperator(context, request);
    const { status, body } = operator.isErr()
      ? operator.error
      : yield* route(context, operator.value, request);
    context.emit({ kind: EffectKind.AdminReply, exchangeId, status, body: JSON.stringify(body) });
  } finally {
    adminExchanges.delete(exchangeId);
  }
}

const SECTION_PATH_PATTERN = /^\/v1\/config\/sections\/([^/]+)$/;
const BUDGET_PATH_PATTERN = /^\/v1\/budgets\/([^/]+)$/;

function* route(context: CoreContext, operator: Operator, request: AdminRequest): Task<AdminReply> {
  const { method, path } = request;
  const section = SECTION_PATH_PATTERN.exec(path)?.[1];
  const organisationId = BUDGET_PATH_PATTERN.exec(path)?.[1];
  if (method === 'PUT' && section !== undefined) {
    return yield* putSection(context, operator, request, section);
  }
  if (method === 'GET' && organisationId !== undefined) {
    return yield* viewBudget(context, organisationId);
  }
  switch (`${method} ${path}`) {
    case 'GET /v1/config':
      return yield* viewConfiguration(context);
    case 'GET /v1/status':
      return viewStatus(context);
    default:
      return notFound(`There is no call ${method} ${path}.`);
  }
}
