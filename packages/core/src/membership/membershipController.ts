import type { CoreContext } from '../context.ts';
import type { Task } from '../scheduler/task.ts';

/** Reads the platform's membership list at an interval. */
export function* membershipController(_context: CoreContext): Task<void> {
  // Added with membership.
}
