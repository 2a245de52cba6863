import type { CoreEvent, Effect, PeerMessage, TableOutcome } from '@pimentostall/core';
import { EffectKind, EventKind, PeerMessageKind, TableOutcomeKind } from '@pimentostall/core';
import { NEAR_REGION } from './fleet.ts';
import type { Host } from './host.ts';
import { PEER_REORDER_DELAY_MS, REORDER_DELAY_MS, STORE_SLOW_DELAY_MS } from './options.ts';
import { orderEngine, readEngineModels } from './executeOrder.ts';
import type { Fault } from './types.ts';
import { FaultKind } from './types.ts';
import type { ExecuteOptions } from './executeUpstream.ts';
import { cancelUpstream, openUpstream, probe } from './executeUpstream.ts';
import type { World } from './simulation.ts';

type EffectOf<K extends EffectKind> = Extract<Effect, { readonly kind: K }>;

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
      callTable(world, host, effect, undefined, () => ({
        kind: TableOutcomeKind.Rows,
        rows: world.table.read(effect.keys),
      }));
      return;
    case EffectKind.TableScan:
      callTable(world, host, effect, undefined, () => ({
        kind: TableOutcomeKind.Rows,
        rows: world.table.scan(effect.keyPrefix),
      }));
      return;
    case EffectKind.TableCommit:
      callTable(world, host, effect, fault, () => commit(world, effect));
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
    case EffectKind.EngineOrder:
      orderEngine(world, host, effect, fault, options.ignorePause);
      return;
    case EffectKind.EngineModelsRead:
      readEngineModels(world, host, effect);
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
  call: EffectOf<EffectKind.TableRead | EffectKind.TableScan | EffectKind.TableCommit>,
  fault: Fault | undefined,
  apply: () => TableOutcome,
): void {
  const { callId } = call;
  const { region } = host.identity;
  const latencyMs = world.latencyMs(region, NEAR_REGION);
  const slowMs = world.nowMs < world.storeSlowUntilMs ? STORE_SLOW_DELAY_MS : 0;
  const delayMs = latencyMs + slowMs + (fault?.kind === FaultKind.Reorder ? REORDER_DELAY_MS : 0);
  const { generation } = host;
  world.after(delayMs, () => {
    if (world.nowMs < world.storeDownUntilMs || world.isCut(region, NEAR_REGION)) {
      return;
    }
    world.meterLink(region, NEAR_REGION, call);
    const outcome = apply();
    world.meterLink(region, NEAR_REGION, outcome);
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
  world.meterLink(host.identity.region, NEAR_REGION, rows);
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
    vmId: host.core.coreState.identity.vmId,
    incarnationId: host.core.coreState.incarnationId,
  };
  const event: CoreEvent = { kind: EventKind.PeerReceived, sender, message: effect.message };
  const latencyMs =
    world.latencyMs(region, target.identity.region) + replyLagMs(world, target, effect.message);
  world.meterLink(region, target.identity.region, event);
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
