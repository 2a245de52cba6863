import type { CoreContext } from '../context.ts';
import type { Task } from '../scheduler/task.ts';

/** Reads the load of every configured engine at an interval. */
export function* probeController(_context: CoreContext): Task<void> {
  // Added with the choice of engine.
}
