import type { CoreEvent, Effect } from '@pimentostall/core';
import type { Simulation } from './simulation.ts';

/** Changes effects, events and fakes; the tests plant faults with it that the checkers must find. */
export interface Tamper {
  /** Called once before the first router starts, to replace what a fake does. */
  readonly setUp?: (simulation: Simulation) => void;
  readonly effect?: (effect: Effect, hostIndex: number) => Effect;
  readonly event?: (event: CoreEvent, hostIndex: number) => CoreEvent;
}
