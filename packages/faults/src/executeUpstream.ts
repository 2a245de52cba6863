import type { CoreEvent, Effect, EffectKind, UpstreamRequest } from '@pimentostall/core';
import { EventKind, UpstreamRequestKind } from '@pimentostall/core';
import type { FakeEngine, FakeStream } from './fakes/fakeEngine.ts';
import { tokenText } from './fakes/fakeEngine.ts';
import { NEAR_REGION, regionOf } from './fleet.ts';
import type { Host } from './host.ts';
import { REORDER_DELAY_MS } from './options.ts';
import type { Fault } from './types.ts';
import { FaultKind } from './types.ts';
import type { World } from './simulation.ts';

const SERVICE_TIME_MS = 30;
const PROBE_LAG_MS = 300;

type EffectOf<K extends EffectKind> = Extract<Effect, { readonly kind: K }>;

export interface ExecuteOptions {
  /** The clock comparison before an upstream write has already passed. */
  readonly ignorePause: boolean;
}

export function openUpstream(
  world: World,
  host: Host,
  effect: EffectOf<EffectKind.UpstreamOpen>,
  fault: Fault | undefined,
  options: ExecuteOptions,
): void {
  const { attemptId, address, request, exchangeId } = effect;
  const paused = world.nowMs - host.steppedAtMs > world.pauseLimitMs;
  const upstreamRegion = regionOf(address);
  const cut = world.isCut(host.identity.region, upstreamRegion);
  if ((paused && !options.ignorePause) || cut) {
    const detail = paused ? 'The process was paused before the request was sent.' : 'connect failed';
    world.deliver(
      host,
      { kind: EventKind.UpstreamFailed, attemptId, mayHaveReachedUpstream: false, detail },
      0,
    );
    return;
  }
  const latencyMs = world.latencyMs(host.identity.region, upstreamRegion);
  const { generation } = host;
  world.meterLink(host.identity.region, upstreamRegion, request);
  world.openAttempts.add(attemptId);
  world.after(latencyMs, () => {
    serve(world, host, { attemptId, address, request, exchangeId, generation, latencyMs, fault });
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

function serve(world: World, host: Host, exchange: UpstreamExchange): void {
  const { request } = exchange;
  switch (request.kind) {
    case UpstreamRequestKind.ServiceCall: {
      noteStart(world, host, exchange);
      const body = world.service.run(request.requestId);
      reply(world, host, exchange, SERVICE_TIME_MS, body);
      return;
    }
    case UpstreamRequestKind.EngineStart: {
      const engine = world.engines.get(exchange.address);
      const promptTokens = request.messages.reduce((sum, { content }) => sum + content.length, 0) >> 2;
      const stream = engine?.start(request.requestId, promptTokens, request.maxOutputTokens, world.nowMs);
      if (stream !== undefined) {
        noteStart(world, host, exchange);
      }
      relay(world, host, exchange, engine, stream, 0, 409);
      return;
    }
    case UpstreamRequestKind.EngineResume: {
      const engine = world.engines.get(exchange.address);
      relay(world, host, exchange, engine, engine?.streams.get(request.requestId), request.fromIndex, 404);
      return;
    }
  }
}

function noteStart(world: World, host: Host, exchange: UpstreamExchange): void {
  const { address, request, exchangeId } = exchange;
  const atMs = world.nowMs;
  const sinceThawMs = atMs - host.thawedAtMs;
  world.starts.push({ address, requestId: request.requestId, exchangeId, atMs, sinceThawMs });
}

function reply(world: World, host: Host, exchange: UpstreamExchange, delayMs: number, body: string): void {
  const { attemptId, fault, latencyMs } = exchange;
  if (fault?.kind === FaultKind.ReplyLost) {
    const detail = 'The connection broke before the answer.';
    send(
      world,
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
    world,
    host,
    exchange,
    { kind: EventKind.UpstreamStarted, attemptId, status: 200 },
    delayMs + latencyMs,
  );
  send(world, host, exchange, ended, delayMs + latencyMs + lateMs);
}

function relay(
  world: World,
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
      world,
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
    send(world, host, exchange, ended, latencyMs);
    return;
  }
  send(world, host, exchange, { kind: EventKind.UpstreamStarted, attemptId, status: 200 }, latencyMs);
  for (let index = fromIndex; index < stream.outputTokens; index += 1) {
    const delayMs = Math.max(0, engine.chunkAtMs(stream, index) - world.nowMs) + latencyMs;
    if (fault?.kind === FaultKind.ReplyLost && index > fromIndex) {
      const detail = 'The stream broke.';
      send(
        world,
        host,
        exchange,
        { kind: EventKind.UpstreamFailed, attemptId, mayHaveReachedUpstream: true, detail },
        delayMs,
      );
      return;
    }
    sendChunk(world, host, exchange, stream, index, delayMs);
  }
  const endMs = Math.max(0, engine.chunkAtMs(stream, stream.outputTokens) - world.nowMs) + latencyMs;
  const ended: CoreEvent = {
    kind: EventKind.UpstreamEnded,
    attemptId,
    status: 200,
    body: '',
    contentType: undefined,
  };
  send(world, host, exchange, ended, endMs + (fault?.kind === FaultKind.Reorder ? REORDER_DELAY_MS : 0));
}

function sendChunk(
  world: World,
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
    stream.cancelledAtMs !== undefined && stream.cancelledAtMs < world.nowMs - exchange.latencyMs;
  const upstreamRegion = regionOf(exchange.address);
  world.after(delayMs + lateMs, () => {
    if (!cancelled()) {
      world.meterLink(host.identity.region, upstreamRegion, event);
      send(world, host, exchange, event, 0);
    }
  });
  if (fault?.kind === FaultKind.Duplicate) {
    send(world, host, exchange, event, delayMs + REORDER_DELAY_MS);
  }
}

function send(world: World, host: Host, exchange: UpstreamExchange, event: CoreEvent, delayMs: number): void {
  world.after(delayMs, () => {
    if (host.generation === exchange.generation && world.openAttempts.has(exchange.attemptId)) {
      world.deliver(host, event, 0);
    }
  });
}

export function cancelUpstream(world: World, host: Host, effect: EffectOf<EffectKind.UpstreamCancel>): void {
  world.openAttempts.delete(effect.attemptId);
  if (effect.stopExecution && host.core !== undefined) {
    const latencyMs = world.latencyMs(host.identity.region, NEAR_REGION);
    world.after(latencyMs, () => {
      world.engines.get(effect.address)?.cancel(effect.requestId, world.nowMs);
    });
  }
}

export function probe(world: World, host: Host, effect: EffectOf<EffectKind.UpstreamProbe>): void {
  const { address, callId } = effect;
  const engine = world.engines.get(address);
  const upstreamRegion = regionOf(address);
  const reachable = engine !== undefined && !world.isCut(host.identity.region, upstreamRegion);
  const load = reachable
    ? {
        runningCount: 0,
        queuedCount: 0,
        leaving: engine.leavingSinceMs !== undefined && world.nowMs - engine.leavingSinceMs > PROBE_LAG_MS,
        ageMs: PROBE_LAG_MS,
        cachedPrefixHashes: [],
      }
    : undefined;
  const latencyMs = 2 * world.latencyMs(host.identity.region, upstreamRegion);
  world.meterLink(host.identity.region, upstreamRegion, load);
  world.deliver(host, { kind: EventKind.UpstreamProbed, callId, address, load }, latencyMs);
}
