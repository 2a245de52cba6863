import type { CoreContext } from '../context.ts';
import { EffectKind } from '../types/effects.ts';
import type { AttachedCaller, RunningRequest } from './types.ts';

/** Attaches a caller to a running request and subscribes to its disconnect event. */
export function attachCaller(
  context: CoreContext,
  run: RunningRequest,
  exchangeId: string,
  stream: boolean,
): AttachedCaller {
  const caller: AttachedCaller = { exchangeId, stream, started: false };
  run.callers.set(exchangeId, caller);
  context.board.replyChannels.exchanges.set(exchangeId, run.disconnects);
  return caller;
}

/** Removes the callers that have disconnected since the last call. */
export function removeDisconnectedCallers(context: CoreContext, run: RunningRequest): void {
  for (let gone = run.disconnects.take(); gone !== undefined; gone = run.disconnects.take()) {
    run.callers.delete(gone.exchangeId);
    context.board.replyChannels.exchanges.delete(gone.exchangeId);
  }
}

/** Unsubscribes from the disconnect events of all callers of an ended request. */
export function detachCallers(context: CoreContext, run: RunningRequest): void {
  for (const exchangeId of run.callers.keys()) {
    context.board.replyChannels.exchanges.delete(exchangeId);
  }
}

/** Sends the response head to a caller unless it has been sent already. */
export function startResponse(
  context: CoreContext,
  run: RunningRequest,
  caller: AttachedCaller,
  status: number,
  contentType: string,
): void {
  if (caller.started) {
    return;
  }
  caller.started = true;
  const headers = { 'Content-Type': contentType, 'Idempotency-Key': run.requestId };
  context.emit({ kind: EffectKind.CallerStart, exchangeId: caller.exchangeId, status, headers });
}

/** Redirects every caller to another router. `hop=1` marks the request as redirected. */
export function redirectCallers(
  context: CoreContext,
  run: RunningRequest,
  address: string,
  target: string,
): void {
  const separator = target.includes('?') ? '&' : '?';
  const location = `http://${address}${target}${separator}hop=1`;
  const headers = { Location: location, 'Idempotency-Key': run.requestId };
  for (const { exchangeId } of run.callers.values()) {
    context.emit({ kind: EffectKind.CallerStart, exchangeId, status: 307, headers });
    context.emit({ kind: EffectKind.CallerEnd, exchangeId, data: '' });
  }
}
