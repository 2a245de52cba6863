import type { CoreContext } from '../context.ts';
import type { Task } from '../scheduler/task.ts';

/** Keeps the configuration in force up to date from peers and the table. */
export function* configurationController(_context: CoreContext): Task<void> {
  // Added with configuration.
}
