import type { CoreContext } from '../context.ts';
import { EffectKind, MetricKind } from '../types/effects.ts';
import type { EngineChunk } from '../types/requests.ts';
import { attachCaller, startResponse } from './callers.ts';
import { formatCompletion, formatStreamEnd, formatTextChunk } from './chatFormat.ts';
import { emitAnswered, emitMetric } from './requestMetrics.ts';
import { ChunkDecision } from './streamLog.ts';
import type { AttachedCaller, RunningRequest } from './types.ts';

const STREAM_CONTENT_TYPE = 'text/event-stream';
const JSON_CONTENT_TYPE = 'application/json';

/** Tracks the last relayed chunk to measure the time between tokens. */
export interface RelayState {
  lastChunkAtMs: number | undefined;
}

function sendText(
  context: CoreContext,
  run: RunningRequest,
  caller: AttachedCaller,
  model: string,
  index: number,
): void {
  if (!caller.stream) {
    return;
  }
  startResponse(context, run, caller, 200, STREAM_CONTENT_TYPE);
  const text = run.log.texts[index] ?? '';
  const data = formatTextChunk(run, model, text, index === 0);
  context.emit({ kind: EffectKind.CallerChunk, exchangeId: caller.exchangeId, data });
}

/** Relays a chunk to all callers if it is the next one of the stream. */
export function relayChunk(
  context: CoreContext,
  run: RunningRequest,
  model: string,
  chunk: EngineChunk,
  state: RelayState,
): ChunkDecision {
  const decision = run.log.accept(chunk);
  if (decision !== ChunkDecision.Relay) {
    return decision;
  }
  for (const caller of run.callers.values()) {
    sendText(context, run, caller, model, chunk.index);
  }
  const nowMs = context.clock.monotonicMs;
  if (state.lastChunkAtMs === undefined) {
    emitMetric(context, run, MetricKind.TimeToFirstToken, nowMs - run.startedAtMs);
  } else {
    emitMetric(context, run, MetricKind.TimeBetweenTokens, nowMs - state.lastChunkAtMs);
  }
  state.lastChunkAtMs = nowMs;
  return decision;
}

/** Attaches a caller to a running stream and replays the chunks relayed so far. */
export function joinStream(
  context: CoreContext,
  run: RunningRequest,
  model: string,
  exchangeId: string,
  stream: boolean,
): void {
  const caller = attachCaller(context, run, exchangeId, stream);
  for (let index = 0; index < run.log.nextIndex; index += 1) {
    sendText(context, run, caller, model, index);
  }
}

/** Ends the response of all callers. The usage must be recorded first, so that a router crash loses no bill. */
export function sendAnswerEnd(context: CoreContext, run: RunningRequest, model: string): void {
  const { finish } = run.log;
  if (finish === undefined) {
    return;
  }
  for (const caller of run.callers.values()) {
    startResponse(context, run, caller, 200, caller.stream ? STREAM_CONTENT_TYPE : JSON_CONTENT_TYPE);
    const data = caller.stream ? formatStreamEnd(run, model, finish) : formatCompletion(run, model, finish);
    context.emit({ kind: EffectKind.CallerEnd, exchangeId: caller.exchangeId, data });
  }
  emitAnswered(context, run);
}
