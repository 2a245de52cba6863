import type { CoreContext } from '../context.ts';
import type { Task } from '../scheduler/task.ts';
import { EffectKind } from '../types/effects.ts';
import type { AdminRequest } from '../types/events.ts';

/** Serves one request of an operator on the administration port. */
export function* handleAdminRequest(
  context: CoreContext,
  exchangeId: string,
  _request: AdminRequest,
): Task<void> {
  context.emit({ kind: EffectKind.AdminReply, exchangeId, status: 404, body: '{}' });
}
