import type { CoreEvent, Effect } from '@pimentostall/core';
import type { Simulation } from './simulation.ts';

/** Hooks that change effects, events and fakes. The tests use them to plant faults that the checkers must find. */
export interface SimulationHooks {
  /** Called once before the first router starts, to change the behaviour of fakes. */
  readonly setUp?: (simulation: Simulation) => void;
  readonly mapEffect?: (effect: Effect, hostIndex: number) => Effect;
  readonly mapEvent?: (event: CoreEvent, hostIndex: number) => CoreEvent;
}
