import type { Effect, EffectKind } from '@pimentostall/core';
import { DEFAULT_CORE_OPTIONS, EngineOrderOutcome, EventKind } from '@pimentostall/core';
import { FAR_REGION, NEAR_REGION } from './fleet.ts';
import type { Host } from './host.ts';
import { MATRIX_CORE_OPTIONS, REORDER_DELAY_MS } from './options.ts';
import type { Fault } from './types.ts';
import { FaultKind } from './types.ts';
import type { World } from './world.ts';

const pauseLimitMs = MATRIX_CORE_OPTIONS.pauseLimitMs ?? DEFAULT_CORE_OPTIONS.pauseLimitMs;

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
  const upstreamRegion = address.startsWith('127.2.') ? FAR_REGION : NEAR_REGION;
  const paused = world.nowMs - host.steppedAtMs > pauseLimitMs && !ignorePause;
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
  const upstreamRegion = address.startsWith('127.2.') ? FAR_REGION : NEAR_REGION;
  const cut = world.isCut(host.identity.region, upstreamRegion);
  const models = cut ? undefined : world.engines.get(address)?.models();
  const latencyMs = 2 * world.latencyMs(host.identity.region, upstreamRegion);
  world.deliver(host, { kind: EventKind.EngineModels, callId, models }, latencyMs);
}
