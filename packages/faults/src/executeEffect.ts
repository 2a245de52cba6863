import type { CoreEvent, Effect, PeerMessage, TableOutcome, UpstreamRequest } from '@pimentostall/core';
import {
  EffectKind,
  EventKind,
  PeerMessageKind,
  TableOutcomeKind,
  UpstreamRequestKind,
} from '@pimentostall/core';
import type { FakeEngine, FakeStream } from './fakes/fakeEngine.ts';
import { tokenText } from './fakes/fakeEngine.ts';
import { FAR_REGION, NEAR_REGION } from './fleet.ts';
import type { Host } from './host.ts';
import {
  MATRIX_CORE_OPTIONS,
  PEER_REORDER_DELAY_MS,
  REORDER_DELAY_MS,
  STORE_SLOW_DELAY_MS,
} from './options.ts';
import { DEFAULT_CORE_OPTIONS } from '@pimentostall/core';
import type { Fault } from './types.ts';
import { FaultKind } from './types.ts';
import type { World } from './world.ts';

const SERVICE_TIME_MS = 30;
const PROBE_LAG_MS = 300;
const pauseLimitMs = MATRIX_CORE_OPTIONS.pauseLimitMs ?? DEFAULT_CORE_OPTIONS.pauseLimitMs;

type EffectOf<K extends EffectKind> = Extract<Effect, { readonly kind: K }>;

interface ExecuteOptions {
  /** The clock comparison before an upstream write has already passed. */
  readonly ignorePause: boolean;
}

const DEFAULT_EXECUTE_OPTIONS: ExecuteOptions = { ignorePause: false };

/** What a shell would do with an effect, against the fakes. A given fault spoils the effect's own delivery. */
export function executeEffect(
  world: World,
  host: Host,
  effect: Effect,
  fault: Fault | undefined,
  options: ExecuteOptions = DEFAULT_EXECUTE_OPTIONS,
): void {
  switch (effect.kind) {
    case EffectKind.TableRead:
      callTable(world, host, effect.callId, undefined, () => ({
        kind: TableOutcomeKind.Rows,
        rows: world.table.read(effect.keys),
      }));
      return;
    case EffectKind.TableScan:
      callTable(world, host, effect.callId, undefined, () => ({
        kind: TableOutcomeKind.Rows,
        rows: world.table.scan(effect.keyPrefix),
      }));
      return;
    case EffectKind.TableCommit:
      callTable(world, host, effect.callId, fault, () => commit(world, effect));
      return;
    case EffectKind.MembershipRead:
      readMembership(world, host, effect.callId);
      return;
    case EffectKind.PeerSend:
      sendToPeer(world, host, effect, fault);
      return;
    case EffectKind.UpstreamOpen:
      openUpstream(world, host, effect, fault, options);
      return;
    case EffectKind.UpstreamCancel:
      cancelUpstream(world, host, effect);
      return;
    case EffectKind.UpstreamProbe:
      probe(world, host, effect);
      return;
    case EffectKind.CallerStart:
    case EffectKind.CallerChunk:
      world.listeners.get(effect.exchangeId)?.onEffect(effect);
      return;
    case EffectKind.CallerEnd:
    case EffectKind.CallerProblem:
    case EffectKind.AdminReply:
      endExchange(world, effect, fault);
      return;
    case EffectKind.Log:
      noteDefect(world, effect);
      return;
    case EffectKind.Metric:
      return;
    case EffectKind.Exit:
      world.exit(host);
      return;
  }
}

function commit(world: World, effect: EffectOf<EffectKind.TableCommit>): TableOutcome {
  const outcome = world.table.commit(effect.transaction);
  for (const watch of world.commitWatchers) {
    watch();
  }
  return outcome;
}

function callTable(
  world: World,
  host: Host,
  callId: string,
  fault: Fault | undefined,
  apply: () => TableOutcome,
): void {
  const { region } = host.identity;
  const latencyMs = world.latencyMs(region, NEAR_REGION);
  const slowMs = world.nowMs < world.storeSlowUntilMs ? STORE_SLOW_DELAY_MS : 0;
  const delayMs = latencyMs + slowMs + (fault?.kind === FaultKind.Reorder ? REORDER_DELAY_MS : 0);
  const { generation } = host;
  world.after(delayMs, () => {
    if (world.nowMs < world.storeDownUntilMs || world.isCut(region, NEAR_REGION)) {
      return;
    }
    const outcome = apply();
    if (fault?.kind === FaultKind.ReplyLost || host.generation !== generation) {
      return;
    }
    const reply: CoreEvent = { kind: EventKind.TableReply, callId, outcome };
    world.deliver(host, reply, latencyMs);
    if (fault?.kind === FaultKind.Duplicate) {
      world.deliver(host, reply, latencyMs + REORDER_DELAY_MS);
    }
  });
}

function readMembership(world: World, host: Host, callId: string): void {
  const cut = world.isCut(host.identity.region, NEAR_REGION);
  const rows = cut ? undefined : world.memberRows;
  const delayMs = 2 * world.latencyMs(host.identity.region, NEAR_REGION);
  world.deliver(host, { kind: EventKind.MembershipReply, callId, rows }, delayMs);
}

function sendToPeer(
  world: World,
  host: Host,
  effect: EffectOf<EffectKind.PeerSend>,
  fault: Fault | undefined,
): void {
  const target = world.hosts.find((other) => other.identity.peerAddress === effect.peerAddress);
  const { identity } = host;
  if (target?.core === undefined || host.core === undefined || fault?.kind === FaultKind.ReplyLost) {
    return;
  }
  if (world.isCut(identity.region, target.identity.region)) {
    return;
  }
  const { routerId, region, availabilityZone, peerAddress } = identity;
  const sender = {
    routerId,
    region,
    availabilityZone,
    peerAddress,
    vmId: host.core.board.identity.vmId,
    incarnationId: host.core.board.incarnationId,
  };
  const event: CoreEvent = { kind: EventKind.PeerReceived, sender, message: effect.message };
  const latencyMs =
    world.latencyMs(region, target.identity.region) + replyLagMs(world, target, effect.message);
  world.deliver(target, event, latencyMs + (fault?.kind === FaultKind.Reorder ? PEER_REORDER_DELAY_MS : 0));
  if (fault?.kind === FaultKind.Duplicate) {
    world.deliver(target, event, latencyMs + PEER_REORDER_DELAY_MS);
  }
}

/** The first configuration that each router gets from a peer is late, so that newer ones overtake it. */
function replyLagMs(world: World, target: Host, message: PeerMessage): number {
  const { lateConfigurationHosts } = world;
  if (message.kind !== PeerMessageKind.ConfigurationReply || lateConfigurationHosts.has(target.index)) {
    return 0;
  }
  lateConfigurationHosts.add(target.index);
  return PEER_REORDER_DELAY_MS;
}

function openUpstream(
  world: World,
  host: Host,
  effect: EffectOf<EffectKind.UpstreamOpen>,
  fault: Fault | undefined,
  options: ExecuteOptions,
): void {
  const { attemptId, address, request, exchangeId } = effect;
  const paused = world.nowMs - host.steppedAtMs > pauseLimitMs;
  const upstreamRegion = address.startsWith('127.2.') ? FAR_REGION : NEAR_REGION;
  const cut = world.isCut(host.identity.region, upstreamRegion);
  if ((paused && !options.ignorePause) || cut) {
    const detail = paused ? 'The process was paused before the request was sent.' : 'connect failed';
    world.deliver(host, { kind: EventKind.UpstreamFailed, attemptId, bytesSent: false, detail }, 0);
    return;
  }
  const latencyMs = world.latencyMs(host.identity.region, upstreamRegion);
  const { generation } = host;
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
      { kind: EventKind.UpstreamFailed, attemptId, bytesSent: true, detail },
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
        { kind: EventKind.UpstreamFailed, attemptId, bytesSent: true, detail },
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
  world.after(delayMs + lateMs, () => {
    if (!cancelled()) {
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

function cancelUpstream(world: World, host: Host, effect: EffectOf<EffectKind.UpstreamCancel>): void {
  world.openAttempts.delete(effect.attemptId);
  if (effect.stopWork && host.core !== undefined) {
    const latencyMs = world.latencyMs(host.identity.region, NEAR_REGION);
    world.after(latencyMs, () => {
      world.engines.get(effect.address)?.cancel(effect.requestId, world.nowMs);
    });
  }
}

function probe(world: World, host: Host, effect: EffectOf<EffectKind.UpstreamProbe>): void {
  const { address, callId } = effect;
  const engine = world.engines.get(address);
  const upstreamRegion = address.startsWith('127.2.') ? FAR_REGION : NEAR_REGION;
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
  world.deliver(host, { kind: EventKind.UpstreamProbed, callId, address, load }, latencyMs);
}

type EndEffect = EffectOf<EffectKind.CallerEnd | EffectKind.CallerProblem | EffectKind.AdminReply>;

function endExchange(world: World, effect: EndEffect, fault: Fault | undefined): void {
  const listener = world.listeners.get(effect.exchangeId);
  world.listeners.delete(effect.exchangeId);
  if (fault?.kind === FaultKind.ReplyLost) {
    listener?.onBroken();
    return;
  }
  listener?.onEffect(effect);
}

/** A defect that the core reports is a violation of the run, whatever else it did. */
function noteDefect(world: World, effect: EffectOf<EffectKind.Log>): void {
  if (effect.fields.taskName !== undefined) {
    world.defects.push(String(effect.fields.detail));
  }
}
