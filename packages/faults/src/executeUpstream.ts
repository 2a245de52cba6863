import type { CoreEvent, Effect, EffectKind, UpstreamRequest } from '@pimentostall/core';
import { EventKind, UpstreamRequestKind } from '@pimentostall/core';
import type { FakeEngine, FakeStream } from './fakes/fakeEngine.ts';
import { tokenText } from './fakes/fakeEngine.ts';
import { NEAR_REGION, regionOf } from './fleet.ts';
import type { Host } from './host.ts';
import { REORDER_DELAY_MS } from './options.ts';
import type { Fault } from './types.ts';
import { FaultKind } from './types.ts';
import type { Simulation } from './simulation.ts';

const SERVICE_TIME_MS = 30;
const PROBE_LAG_MS = 300;

type EffectOf<K extends EffectKind> = Extract<Effect, { readonly kind: K }>;

export interface ExecuteOptions {
  /** The clock comparison before an upstream write has already passed. */
  readonly ignorePause: boolean;
}

export function openUpstream(
  simulation: Simulation,
  host: Host,
  effect: EffectOf<EffectKind.UpstreamOpen>,
  fault: Fault | undefined,
  options: ExecuteOptions,
): void {
  const { attemptId, address, request, exchangeId } = effect;
  const paused = simulation.nowMs - host.steppedAtMs > simulation.pauseLimitMs;
  const upstreamRegion = regionOf(address);
  const cut = simulation.isPartitioned(host.identity.region, upstreamRegion);
  if ((paused && !options.ignorePause) || cut) {
    const detail = paused ? 'The process was paused before the request was sent.' : 'connect failed';
    simulation.deliver(
      host,
      { kind: EventKind.UpstreamFailed, attemptId, mayHaveReachedUpstream: false, detail },
      0,
    );
    return;
  }
  const latencyMs = simulation.latencyMs(host.identity.region, upstreamRegion);
  const { generation } = host;
  simulation.meterLink(host.identity.region, upstreamRegion, request);
  simulation.openAttempts.add(attemptId);
  simulation.schedule(latencyMs, () => {
    serve(simulation, host, { attemptId, address, request, exchangeId, generation, latencyMs, fault });
  });
}

interface UpstreamExchange {
  readonly attemptId: string;
  readonly address: string;
  readonly request: UpstreamRequest;
  readonly exchangeId: string | undefined;
  readonly generation: number;
  readonly latencyMs: number;
  readonly fault: Fault | undefined;
}

function serve(simulation: Simulation, host: Host, exchange: UpstreamExchange): void {
  const { request } = exchange;
  switch (request.kind) {
    case UpstreamRequestKind.ServiceCall: {
      noteStart(simulation, host, exchange);
      const body = simulation.service.run(request.requestId);
      reply(simulation, host, exchange, SERVICE_TIME_MS, body);
      return;
    }
    case UpstreamRequestKind.EngineStart: {
      const engine = simulation.engines.get(exchange.address);
      const promptTokens = request.messages.reduce((sum, { content }) => sum + content.length, 0) >> 2;
      const stream = engine?.start(
        request.requestId,
        promptTokens,
        request.maxOutputTokens,
        simulation.nowMs,
      );
      if (stream !== undefined) {
        noteStart(simulation, host, exchange);
      }
      relay(simulation, host, exchange, engine, stream, 0, 409);
      return;
    }
    case UpstreamRequestKind.EngineResume: {
      const engine = simulation.engines.get(exchange.address);
      relay(
        simulation,
        host,
        exchange,
        engine,
        engine?.streams.get(request.requestId),
        request.fromIndex,
        404,
      );
      return;
    }
  }
}

function noteStart(simulation: Simulation, host: Host, exchange: UpstreamExchange): void {
  const { address, request, exchangeId } = exchange;
  const atMs = simulation.nowMs;
  const sinceThawMs = atMs - host.thawedAtMs;
  simulation.starts.push({ address, requestId: request.requestId, exchangeId, atMs, sinceThawMs });
}

function reply(
  simulation: Simulation,
  host: Host,
  exchange: UpstreamExchange,
  delayMs: number,
  body: string,
): void {
  const { attemptId, fault, latencyMs } = exchange;
  if (fault?.kind === FaultKind.ReplyLost) {
    const detail = 'The connection broke before the answer.';
    send(
      simulation,
      host,
      exchange,
      { kind: EventKind.UpstreamFailed, attemptId, mayHaveReachedUpstream: true, detail },
      delayMs,
    );
    return;
  }
  const lateMs = fault?.kind === FaultKind.Reorder ? REORDER_DELAY_MS : 0;
  const ended: CoreEvent = {
    kind: EventKind.UpstreamEnded,
    attemptId,
    status: 200,
    body,
    contentType: 'application/json',
  };
  send(
    simulation,
    host,
    exchange,
    { kind: EventKind.UpstreamStarted, attemptId, status: 200 },
    delayMs + latencyMs,
  );
  send(simulation, host, exchange, ended, delayMs + latencyMs + lateMs);
}

function relay(
  simulation: Simulation,
  host: Host,
  exchange: UpstreamExchange,
  engine: FakeEngine | undefined,
  stream: FakeStream | undefined,
  fromIndex: number,
  refusalStatus: number,
): void {
  const { attemptId, fault, latencyMs } = exchange;
  if (engine === undefined || stream === undefined) {
    send(
      simulation,
      host,
      exchange,
      { kind: EventKind.UpstreamStarted, attemptId, status: refusalStatus },
      latencyMs,
    );
    const body = '';
    const contentType = undefined;
    const ended: CoreEvent = {
      kind: EventKind.UpstreamEnded,
      attemptId,
      status: refusalStatus,
      body,
      contentType,
    };
    send(simulation, host, exchange, ended, latencyMs);
    return;
  }
  send(simulation, host, exchange, { kind: EventKind.UpstreamStarted, attemptId, status: 200 }, latencyMs);
  for (let index = fromIndex; index < stream.outputTokens; index += 1) {
    const delayMs = Math.max(0, engine.chunkAtMs(stream, index) - simulation.nowMs) + latencyMs;
    if (fault?.kind === FaultKind.ReplyLost && index > fromIndex) {
      const detail = 'The stream broke.';
      send(
        simulation,
        host,
        exchange,
        { kind: EventKind.UpstreamFailed, attemptId, mayHaveReachedUpstream: true, detail },
        delayMs,
      );
      return;
    }
    sendChunk(simulation, host, exchange, stream, index, delayMs);
  }
  const endMs = Math.max(0, engine.chunkAtMs(stream, stream.outputTokens) - simulation.nowMs) + latencyMs;
  const ended: CoreEvent = {
    kind: EventKind.UpstreamEnded,
    attemptId,
    status: 200,
    body: '',
    contentType: undefined,
  };
  send(simulation, host, exchange, ended, endMs + (fault?.kind === FaultKind.Reorder ? REORDER_DELAY_MS : 0));
}

function sendChunk(
  simulation: Simulation,
  host: Host,
  exchange: UpstreamExchange,
  stream: FakeStream,
  index: number,
  delayMs: number,
): void {
  const { attemptId, fault } = exchange;
  const { requestId, promptTokens, outputTokens } = stream;
  const isLast = index === outputTokens - 1;
  const finish = isLast ? { reason: 'stop', promptTokens, cachedPromptTokens: 0, outputTokens } : undefined;
  const chunk = { index, text: tokenText(requestId, index), finish };
  const event: CoreEvent = { kind: EventKind.UpstreamChunk, attemptId, chunk };
  // A reordered chunk arrives after its successors.
  const lateMs = fault?.kind === FaultKind.Reorder && index % 3 === 1 ? REORDER_DELAY_MS : 0;
  const cancelled = (): boolean =>
    stream.cancelledAtMs !== undefined && stream.cancelledAtMs < simulation.nowMs - exchange.latencyMs;
  const upstreamRegion = regionOf(exchange.address);
  simulation.schedule(delayMs + lateMs, () => {
    if (!cancelled()) {
      simulation.meterLink(host.identity.region, upstreamRegion, event);
      send(simulation, host, exchange, event, 0);
    }
  });
  if (fault?.kind === FaultKind.Duplicate) {
    send(simulation, host, exchange, event, delayMs + REORDER_DELAY_MS);
  }
}

function send(
  simulation: Simulation,
  host: Host,
  exchange: UpstreamExchange,
  event: CoreEvent,
  delayMs: number,
): void {
  simulation.schedule(delayMs, () => {
    if (host.generation === exchange.generation && simulation.openAttempts.has(exchange.attemptId)) {
      simulation.deliver(host, event, 0);
    }
  });
}

export function cancelUpstream(
  simulation: Simulation,
  host: Host,
  effect: EffectOf<EffectKind.UpstreamCancel>,
): void {
  simulation.openAttempts.delete(effect.attemptId);
  if (effect.stopExecution && host.core !== undefined) {
    const latencyMs = simulation.latencyMs(host.identity.region, NEAR_REGION);
    simulation.schedule(latencyMs, () => {
      simulation.engines.get(effect.address)?.cancel(effect.requestId, simulation.nowMs);
    });
  }
}

export function probe(simulation: Simulation, host: Host, effect: EffectOf<EffectKind.UpstreamProbe>): void {
  const { address, callId } = effect;
  const engine = simulation.engines.get(address);
  const upstreamRegion = regionOf(address);
  const reachable = engine !== undefined && !simulation.isPartitioned(host.identity.region, upstreamRegion);
  const load = reachable
    ? {
        runningCount: 0,
        queuedCount: 0,
        leaving:
          engine.leavingSinceMs !== undefined && simulation.nowMs - engine.leavingSinceMs > PROBE_LAG_MS,
        ageMs: PROBE_LAG_MS,
        cachedPrefixHashes: [],
      }
    : undefined;
  const latencyMs = 2 * simulation.latencyMs(host.identity.region, upstreamRegion);
  simulation.meterLink(host.identity.region, upstreamRegion, load);
  simulation.deliver(host, { kind: EventKind.UpstreamProbed, callId, address, load }, latencyMs);
}
