import type { Effect } from '@pimentostall/core';
import { EffectKind, PeerMessageKind } from '@pimentostall/core';
import type { Fault, FaultKind } from './types.ts';

/**
 * Counts the effects of a run that carry a decision. Periodic reads and heartbeats are left out: a fault there
 * shows as a lost message, which the partition and store faults already bring about.
 */
export class FaultPlan {
  stepCount = 0;
  readonly struck: FaultKind[] = [];
  private readonly faultByStep: ReadonlyMap<number, Fault>;

  constructor(faults: readonly Fault[]) {
    this.faultByStep = new Map(faults.map((fault) => [fault.step, fault]));
  }

  /** The fault that strikes at this effect, if any. */
  next(effect: Effect): Fault | undefined {
    if (!isDecisionStep(effect)) {
      return undefined;
    }
    const fault = this.faultByStep.get(this.stepCount);
    this.stepCount += 1;
    return fault;
  }

  noteStruck(fault: Fault): void {
    this.struck.push(fault.kind);
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
