import type { Effect, EffectKind } from '@pimentostall/core';
import { EngineOrderOutcome, EventKind } from '@pimentostall/core';
import { regionOf } from './fleet.ts';
import type { Host } from './host.ts';
import { REORDER_DELAY_MS } from './options.ts';
import type { Fault } from './types.ts';
import { FaultKind } from './types.ts';
import type { World } from './simulation.ts';

type EffectOf<K extends EffectKind> = Extract<Effect, { readonly kind: K }>;

/** Gives an order to an engine as the shell does: not after a pause. */
export function orderEngine(
  world: World,
  host: Host,
  effect: EffectOf<EffectKind.EngineOrder>,
  fault: Fault | undefined,
  ignorePause: boolean,
): void {
  const { callId, address, order } = effect;
  const upstreamRegion = regionOf(address);
  const paused = world.nowMs - host.steppedAtMs > world.pauseLimitMs && !ignorePause;
  if (paused || world.isCut(host.identity.region, upstreamRegion)) {
    world.deliver(host, { kind: EventKind.EngineOrdered, callId, outcome: EngineOrderOutcome.Unknown }, 0);
    return;
  }
  const latencyMs = world.latencyMs(host.identity.region, upstreamRegion);
  const lateMs = fault?.kind === FaultKind.Reorder ? REORDER_DELAY_MS : 0;
  const { generation } = host;
  world.after(latencyMs + lateMs, () => {
    const accepted = world.engines.get(address)?.takeOrder(order, world.nowMs) ?? false;
    const outcome = accepted ? EngineOrderOutcome.Accepted : EngineOrderOutcome.Fenced;
    if (fault?.kind !== FaultKind.ReplyLost && host.generation === generation) {
      world.deliver(host, { kind: EventKind.EngineOrdered, callId, outcome }, latencyMs);
    }
  });
}

export function readEngineModels(
  world: World,
  host: Host,
  effect: EffectOf<EffectKind.EngineModelsRead>,
): void {
  const { callId, address } = effect;
  const upstreamRegion = regionOf(address);
  const cut = world.isCut(host.identity.region, upstreamRegion);
  const models = cut ? undefined : world.engines.get(address)?.models();
  const latencyMs = 2 * world.latencyMs(host.identity.region, upstreamRegion);
  world.deliver(host, { kind: EventKind.EngineModels, callId, models }, latencyMs);
}
