import type { Effect } from '@pimentostall/core';
import { EffectKind, PeerMessageKind } from '@pimentostall/core';
import type { Fault, FaultKind } from './types.ts';

/**
 * Counts the effects that act on a decision of the core and returns the fault planned at each. Periodic reads and
 * heartbeats are not counted: a fault there amounts to a lost message, which the region cut and the store faults
 * already cause.
 */
export class FaultPlan {
  stepCount = 0;
  readonly appliedKinds: FaultKind[] = [];
  private readonly faultByStep: ReadonlyMap<number, Fault>;

  constructor(faults: readonly Fault[]) {
    this.faultByStep = new Map(faults.map((fault) => [fault.step, fault]));
  }

  /** Counts the effect and returns the fault to inject at it, if any. */
  next(effect: Effect): Fault | undefined {
    if (!isDecisionStep(effect)) {
      return undefined;
    }
    const fault = this.faultByStep.get(this.stepCount);
    this.stepCount += 1;
    return fault;
  }

  recordApplied(fault: Fault): void {
    this.appliedKinds.push(fault.kind);
  }
}

function isDecisionStep(effect: Effect): boolean {
  switch (effect.kind) {
    case EffectKind.TableCommit:
    case EffectKind.UpstreamOpen:
    case EffectKind.UpstreamCancel:
    case EffectKind.EngineOrder:
    case EffectKind.CallerStart:
    case EffectKind.CallerEnd:
    case EffectKind.CallerProblem:
    case EffectKind.AdminReply:
      return true;
    case EffectKind.PeerSend:
      return effect.message.kind !== PeerMessageKind.Heartbeat;
    case EffectKind.TableRead:
    case EffectKind.TableScan:
    case EffectKind.MembershipRead:
    case EffectKind.UpstreamProbe:
    case EffectKind.EngineModelsRead:
    case EffectKind.CallerChunk:
    case EffectKind.Log:
    case EffectKind.Metric:
    case EffectKind.Exit:
      return false;
  }
}
