import type { CoreContext } from '../context.ts';
import type { Task } from '../scheduler/task.ts';

/** Leads a stopping router through its drain to its exit. */
export function* drainController(_context: CoreContext): Task<void> {
  // Added with the drain.
}
