import type { Effect, EffectKind } from '@pimentostall/core';
import { EngineOrderOutcome, EventKind } from '@pimentostall/core';
import { regionOf } from './fleet.ts';
import type { Host } from './host.ts';
import { REORDER_DELAY_MS } from './options.ts';
import type { Fault } from './types.ts';
import { FaultKind } from './types.ts';
import type { Simulation } from './simulation.ts';

type EffectOf<K extends EffectKind> = Extract<Effect, { readonly kind: K }>;

/** Sends an order to an engine. As in the shell, it is not sent if the process was paused since its last step. */
export function sendEngineOrder(
  simulation: Simulation,
  host: Host,
  effect: EffectOf<EffectKind.EngineOrder>,
  fault: Fault | undefined,
  skipPauseCheck: boolean,
): void {
  const { callId, address, order } = effect;
  const upstreamRegion = regionOf(address);
  const paused = simulation.nowMs - host.steppedAtMs > simulation.pauseLimitMs && !skipPauseCheck;
  if (paused || simulation.isPartitioned(host.identity.region, upstreamRegion)) {
    simulation.deliver(
      host,
      { kind: EventKind.EngineOrdered, callId, outcome: EngineOrderOutcome.Unknown },
      0,
    );
    return;
  }
  const latencyMs = simulation.latencyMs(host.identity.region, upstreamRegion);
  const extraDelayMs = fault?.kind === FaultKind.Reorder ? REORDER_DELAY_MS : 0;
  const { generation } = host;
  simulation.schedule(latencyMs + extraDelayMs, () => {
    const accepted = simulation.engines.get(address)?.acceptOrder(order, simulation.nowMs) ?? false;
    const outcome = accepted ? EngineOrderOutcome.Accepted : EngineOrderOutcome.Fenced;
    if (fault?.kind !== FaultKind.ReplyLost && host.generation === generation) {
      simulation.deliver(host, { kind: EventKind.EngineOrdered, callId, outcome }, latencyMs);
    }
  });
}

export function readEngineModels(
  simulation: Simulation,
  host: Host,
  effect: EffectOf<EffectKind.EngineModelsRead>,
): void {
  const { callId, address } = effect;
  const upstreamRegion = regionOf(address);
  const cut = simulation.isPartitioned(host.identity.region, upstreamRegion);
  const models = cut ? undefined : simulation.engines.get(address)?.models();
  const latencyMs = 2 * simulation.latencyMs(host.identity.region, upstreamRegion);
  simulation.deliver(host, { kind: EventKind.EngineModels, callId, models }, latencyMs);
}
