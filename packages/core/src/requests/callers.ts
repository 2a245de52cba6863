import type { CoreContext } from '../context.ts';
import { EffectKind } from '../types/effects.ts';
import type { AttachedCaller, RunningRequest } from './types.ts';

/** Adds a caller to a running request and watches its departure. */
export function attachCaller(
  context: CoreContext,
  run: RunningRequest,
  exchangeId: string,
  stream: boolean,
): AttachedCaller {
  const caller: AttachedCaller = { exchangeId, stream, started: false };
  run.callers.set(exchangeId, caller);
  context.board.replyChannels.exchanges.set(exchangeId, run.departures);
  return caller;
}

/** Forgets the callers that left since the last look. */
export function dropDepartedCallers(context: CoreContext, run: RunningRequest): void {
  for (let gone = run.departures.take(); gone !== undefined; gone = run.departures.take()) {
    run.callers.delete(gone.exchangeId);
    context.board.replyChannels.exchanges.delete(gone.exchangeId);
  }
}

/** Stops watching all callers of a request that ended. */
export function releaseCallers(context: CoreContext, run: RunningRequest): void {
  for (const exchangeId of run.callers.keys()) {
    context.board.replyChannels.exchanges.delete(exchangeId);
  }
}

/** Starts the answer of a caller once. */
export function startCaller(
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

/** Sends every caller to another router. */
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
