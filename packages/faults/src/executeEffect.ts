import type { CoreEvent, Effect, PeerMessage, TableOutcome } from '@pimentostall/core';
import { EffectKind, EventKind, PeerMessageKind, TableOutcomeKind } from '@pimentostall/core';
import { NEAR_REGION } from './fleet.ts';
import type { Host } from './host.ts';
import { PEER_REORDER_DELAY_MS, REORDER_DELAY_MS, STORE_SLOW_DELAY_MS } from './options.ts';
import { readEngineModels, sendEngineOrder } from './executeOrder.ts';
import type { Fault } from './types.ts';
import { FaultKind } from './types.ts';
import type { ExecuteOptions } from './executeUpstream.ts';
import { cancelUpstream, openUpstream, probeUpstream } from './executeUpstream.ts';
import type { Simulation } from './simulation.ts';

type EffectOf<K extends EffectKind> = Extract<Effect, { readonly kind: K }>;

const DEFAULT_EXECUTE_OPTIONS: ExecuteOptions = { skipPauseCheck: false };

/** Executes an effect against the fakes as the shell would. A fault, if given, affects the delivery of this effect. */
export function executeEffect(
  simulation: Simulation,
  host: Host,
  effect: Effect,
  fault: Fault | undefined,
  options: ExecuteOptions = DEFAULT_EXECUTE_OPTIONS,
): void {
  switch (effect.kind) {
    case EffectKind.TableRead:
      callTable(simulation, host, effect, undefined, () => ({
        kind: TableOutcomeKind.Rows,
        rows: simulation.table.read(effect.keys),
      }));
      return;
    case EffectKind.TableScan:
      callTable(simulation, host, effect, undefined, () => ({
        kind: TableOutcomeKind.Rows,
        rows: simulation.table.scan(effect.keyPrefix),
      }));
      return;
    case EffectKind.TableCommit:
      callTable(simulation, host, effect, fault, () => commitTransaction(simulation, effect));
      return;
    case EffectKind.MembershipRead:
      readMembership(simulation, host, effect.callId);
      return;
    case EffectKind.PeerSend:
      sendToPeer(simulation, host, effect, fault);
      return;
    case EffectKind.UpstreamOpen:
      openUpstream(simulation, host, effect, fault, options);
      return;
    case EffectKind.UpstreamCancel:
      cancelUpstream(simulation, host, effect);
      return;
    case EffectKind.UpstreamProbe:
      probeUpstream(simulation, host, effect);
      return;
    case EffectKind.EngineOrder:
      sendEngineOrder(simulation, host, effect, fault, options.skipPauseCheck);
      return;
    case EffectKind.EngineModelsRead:
      readEngineModels(simulation, host, effect);
      return;
    case EffectKind.CallerStart:
    case EffectKind.CallerChunk:
      simulation.listeners.get(effect.exchangeId)?.onEffect(effect);
      return;
    case EffectKind.CallerEnd:
    case EffectKind.CallerProblem:
    case EffectKind.AdminReply:
      endExchange(simulation, effect, fault);
      return;
    case EffectKind.Log:
      recordDefect(simulation, effect);
      return;
    case EffectKind.Metric:
      return;
    case EffectKind.Exit:
      simulation.exit(host);
      return;
  }
}

function commitTransaction(simulation: Simulation, effect: EffectOf<EffectKind.TableCommit>): TableOutcome {
  const outcome = simulation.table.commit(effect.transaction);
  for (const watch of simulation.commitWatchers) {
    watch();
  }
  return outcome;
}

function callTable(
  simulation: Simulation,
  host: Host,
  effect: EffectOf<EffectKind.TableRead | EffectKind.TableScan | EffectKind.TableCommit>,
  fault: Fault | undefined,
  apply: () => TableOutcome,
): void {
  const { callId } = effect;
  const { region } = host.identity;
  const latencyMs = simulation.latencyMs(region, NEAR_REGION);
  const slowMs = simulation.nowMs < simulation.storeSlowUntilMs ? STORE_SLOW_DELAY_MS : 0;
  const delayMs = latencyMs + slowMs + (fault?.kind === FaultKind.Reorder ? REORDER_DELAY_MS : 0);
  const { generation } = host;
  simulation.schedule(delayMs, () => {
    if (simulation.nowMs < simulation.storeDownUntilMs || simulation.isPartitioned(region, NEAR_REGION)) {
      return;
    }
    simulation.reportLinkTransfer(region, NEAR_REGION, effect);
    const outcome = apply();
    simulation.reportLinkTransfer(region, NEAR_REGION, outcome);
    if (fault?.kind === FaultKind.ReplyLost || host.generation !== generation) {
      return;
    }
    const reply: CoreEvent = { kind: EventKind.TableReply, callId, outcome };
    simulation.deliver(host, reply, latencyMs);
    if (fault?.kind === FaultKind.Duplicate) {
      simulation.deliver(host, reply, latencyMs + REORDER_DELAY_MS);
    }
  });
}

function readMembership(simulation: Simulation, host: Host, callId: string): void {
  const cut = simulation.isPartitioned(host.identity.region, NEAR_REGION);
  const rows = cut ? undefined : simulation.memberRows;
  const delayMs = 2 * simulation.latencyMs(host.identity.region, NEAR_REGION);
  simulation.reportLinkTransfer(host.identity.region, NEAR_REGION, rows);
  simulation.deliver(host, { kind: EventKind.MembershipReply, callId, rows }, delayMs);
}

function sendToPeer(
  simulation: Simulation,
  host: Host,
  effect: EffectOf<EffectKind.PeerSend>,
  fault: Fault | undefined,
): void {
  const target = simulation.hosts.find((other) => other.identity.peerAddress === effect.peerAddress);
  const { identity } = host;
  if (target?.core === undefined || host.core === undefined || fault?.kind === FaultKind.ReplyLost) {
    return;
  }
  if (simulation.isPartitioned(identity.region, target.identity.region)) {
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
    simulation.latencyMs(region, target.identity.region) +
    configurationReplyDelayMs(simulation, target, effect.message);
  simulation.reportLinkTransfer(region, target.identity.region, event);
  simulation.deliver(
    target,
    event,
    latencyMs + (fault?.kind === FaultKind.Reorder ? PEER_REORDER_DELAY_MS : 0),
  );
  if (fault?.kind === FaultKind.Duplicate) {
    simulation.deliver(target, event, latencyMs + PEER_REORDER_DELAY_MS);
  }
}

/** Delays the first configuration that each router receives from a peer, so that newer ones overtake it. */
function configurationReplyDelayMs(simulation: Simulation, target: Host, message: PeerMessage): number {
  const { delayedConfigurationHosts } = simulation;
  if (message.kind !== PeerMessageKind.ConfigurationReply || delayedConfigurationHosts.has(target.index)) {
    return 0;
  }
  delayedConfigurationHosts.add(target.index);
  return PEER_REORDER_DELAY_MS;
}

type EndEffect = EffectOf<EffectKind.CallerEnd | EffectKind.CallerProblem | EffectKind.AdminReply>;

function endExchange(simulation: Simulation, effect: EndEffect, fault: Fault | undefined): void {
  const listener = simulation.listeners.get(effect.exchangeId);
  simulation.listeners.delete(effect.exchangeId);
  if (fault?.kind === FaultKind.ReplyLost) {
    listener?.onConnectionBroken();
    return;
  }
  listener?.onEffect(effect);
}

/** Records a failed task that the core logged; each one counts as a violation of the run. */
function recordDefect(simulation: Simulation, effect: EffectOf<EffectKind.Log>): void {
  if (effect.fields.taskName !== undefined) {
    simulation.defects.push(String(effect.fields.detail));
  }
}
