import type { CoreEvent, Effect, RouterIdentity } from '@pimentostall/core';
import type { RouterCore } from '@pimentostall/core';

/** One router of a run: its core and the state of its simulated process. */
export interface Host {
  readonly index: number;
  readonly identity: RouterIdentity;
  /** undefined while no process runs. */
  core: RouterCore | undefined;
  /** Incremented when a process ends, so that pending deliveries to it are dropped. */
  generation: number;
  frozenUntilMs: number;
  /** End of the last freeze. */
  thawedAtMs: number;
  /** Time of the step whose effects are being executed. */
  steppedAtMs: number;
  /** Effects that a freeze interrupted, executed at its end. */
  suspendedEffects: Effect[];
  /** Events that arrived during a freeze, delivered at its end. */
  pendingEvents: CoreEvent[];
  /** Incremented with each scheduled step, so that only the latest timer runs. */
  stepTimerToken: number;
  exited: boolean;
}

export function createHost(index: number, identity: RouterIdentity): Host {
  return {
    index,
    identity,
    core: undefined,
    generation: 0,
    frozenUntilMs: 0,
    thawedAtMs: -Infinity,
    steppedAtMs: 0,
    suspendedEffects: [],
    pendingEvents: [],
    stepTimerToken: 0,
    exited: false,
  };
}
