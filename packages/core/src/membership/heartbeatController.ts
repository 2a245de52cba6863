import type { CoreContext } from '../context.ts';
import type { Task } from '../scheduler/task.ts';

/** Sends heartbeats to the peers of the region and digests across the region link. */
export function* heartbeatController(_context: CoreContext): Task<void> {
  // Added with membership.
}
