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
const LOAD_REPORT_AGE_MS = 300;

type EffectOf<K extends EffectKind> = Extract<Effect, { readonly kind: K }>;

export interface ExecuteOptions {
  /** The effect passed the pause check before the freeze, so the check is not repeated. */
  readonly skipPauseCheck: boolean;
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
  if ((paused && !options.skipPauseCheck) || cut) {
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
  simulation.reportLinkTransfer(host.identity.region, upstreamRegion, request);
  simulation.openAttempts.add(attemptId);
  simulation.schedule(latencyMs, () => {
    handleRequest(simulation, host, {
      attemptId,
      address,
      request,
      exchangeId,
      generation,
      latencyMs,
      fault,
    });
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

function handleRequest(simulation: Simulation, host: Host, exchange: UpstreamExchange): void {
  const { request } = exchange;
  switch (request.kind) {
    case UpstreamRequestKind.ServiceCall: {
      recordStart(simulation, host, exchange);
      const body = simulation.service.run(request.requestId);
      sendServiceReply(simulation, host, exchange, SERVICE_TIME_MS, body);
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
        recordStart(simulation, host, exchange);
      }
      streamAnswer(simulation, host, exchange, engine, stream, 0, 409);
      return;
    }
    case UpstreamRequestKind.EngineResume: {
      const engine = simulation.engines.get(exchange.address);
      streamAnswer(
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

function recordStart(simulation: Simulation, host: Host, exchange: UpstreamExchange): void {
  const { address, request, exchangeId } = exchange;
  const atMs = simulation.nowMs;
  const sinceThawMs = atMs - host.thawedAtMs;
  simulation.upstreamStarts.push({ address, requestId: request.requestId, exchangeId, atMs, sinceThawMs });
}

function sendServiceReply(
  simulation: Simulation,
  host: Host,
  exchange: UpstreamExchange,
  delayMs: number,
  body: string,
): void {
  const { attemptId, fault, latencyMs } = exchange;
  if (fault?.kind === FaultKind.ReplyLost) {
    const detail = 'The connection broke before the answer.';
    deliverIfOpen(
      simulation,
      host,
      exchange,
      { kind: EventKind.UpstreamFailed, attemptId, mayHaveReachedUpstream: true, detail },
      delayMs,
    );
    return;
  }
  const extraDelayMs = fault?.kind === FaultKind.Reorder ? REORDER_DELAY_MS : 0;
  const ended: CoreEvent = {
    kind: EventKind.UpstreamEnded,
    attemptId,
    status: 200,
    body,
    contentType: 'application/json',
  };
  deliverIfOpen(
    simulation,
    host,
    exchange,
    { kind: EventKind.UpstreamStarted, attemptId, status: 200 },
    delayMs + latencyMs,
  );
  deliverIfOpen(simulation, host, exchange, ended, delayMs + latencyMs + extraDelayMs);
}

function streamAnswer(
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
    deliverIfOpen(
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
    deliverIfOpen(simulation, host, exchange, ended, latencyMs);
    return;
  }
  deliverIfOpen(
    simulation,
    host,
    exchange,
    { kind: EventKind.UpstreamStarted, attemptId, status: 200 },
    latencyMs,
  );
  for (let index = fromIndex; index < stream.outputTokens; index += 1) {
    const delayMs = Math.max(0, engine.chunkAtMs(stream, index) - simulation.nowMs) + latencyMs;
    if (fault?.kind === FaultKind.ReplyLost && index > fromIndex) {
      const detail = 'The stream broke.';
      deliverIfOpen(
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
  deliverIfOpen(
    simulation,
    host,
    exchange,
    ended,
    endMs + (fault?.kind === FaultKind.Reorder ? REORDER_DELAY_MS : 0),
  );
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
  // A reordered chunk arrives after later ones.
  const extraDelayMs = fault?.kind === FaultKind.Reorder && index % 3 === 1 ? REORDER_DELAY_MS : 0;
  const cancelled = (): boolean =>
    stream.cancelledAtMs !== undefined && stream.cancelledAtMs < simulation.nowMs - exchange.latencyMs;
  const upstreamRegion = regionOf(exchange.address);
  simulation.schedule(delayMs + extraDelayMs, () => {
    if (!cancelled()) {
      simulation.reportLinkTransfer(host.identity.region, upstreamRegion, event);
      deliverIfOpen(simulation, host, exchange, event, 0);
    }
  });
  if (fault?.kind === FaultKind.Duplicate) {
    deliverIfOpen(simulation, host, exchange, event, delayMs + REORDER_DELAY_MS);
  }
}

function deliverIfOpen(
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

export function probeUpstream(
  simulation: Simulation,
  host: Host,
  effect: EffectOf<EffectKind.UpstreamProbe>,
): void {
  const { address, callId } = effect;
  const engine = simulation.engines.get(address);
  const upstreamRegion = regionOf(address);
  const reachable = engine !== undefined && !simulation.isPartitioned(host.identity.region, upstreamRegion);
  const load = reachable
    ? {
        runningCount: 0,
        queuedCount: 0,
        leaving:
          engine.leavingSinceMs !== undefined &&
          simulation.nowMs - engine.leavingSinceMs > LOAD_REPORT_AGE_MS,
        ageMs: LOAD_REPORT_AGE_MS,
        cachedPrefixHashes: [],
      }
    : undefined;
  const latencyMs = 2 * simulation.latencyMs(host.identity.region, upstreamRegion);
  simulation.reportLinkTransfer(host.identity.region, upstreamRegion, load);
  simulation.deliver(host, { kind: EventKind.UpstreamProbed, callId, address, load }, latencyMs);
}
