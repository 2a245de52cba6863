import type { GatewayContext } from '../context.ts';
import type { ServedRequest } from './servedRequest.ts';

/** Lowest priority that engines accept; larger numbers mean lower priority. */
const LOWEST_ENGINE_PRIORITY = 9;

/** Returns the priority that a request has at its engine: that of its organisation, otherwise that of its route. */
export function enginePriority(context: GatewayContext, request: ServedRequest): number {
  const organisation =
    request.organisationName === undefined
      ? undefined
      : context.board.configuration?.organisations.get(request.organisationName);
  return Math.min(organisation?.priority ?? request.route.priority, LOWEST_ENGINE_PRIORITY);
}
