import type { CoreEvent, Effect, RouterIdentity } from '@pimentostall/core';
import type { RouterCore } from '@pimentostall/core';

/** One router of a run: its core, and what a frozen or crashed process does with events and effects. */
export interface Host {
  readonly index: number;
  readonly identity: RouterIdentity;
  /** undefined while the router is dead. */
  core: RouterCore | undefined;
  /** Grows with each new process, so that deliveries to a dead one are dropped. */
  generation: number;
  frozenUntilMs: number;
  /** When the last freeze ended. */
  thawedAtMs: number;
  /** Time of the step whose effects are being executed. */
  steppedAtMs: number;
  /** Effects that a freeze interrupted. */
  suspendedEffects: Effect[];
  /** Events that arrived during a freeze. */
  pendingEvents: CoreEvent[];
  wakeToken: number;
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
    wakeToken: 0,
    exited: false,
  };
}
