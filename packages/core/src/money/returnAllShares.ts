import type { CoreContext } from '../context.ts';
import type { Task } from '../scheduler/task.ts';

/** Settles the records and returns the shares of a draining router; false if something is left to do. */
export function* returnAllShares(_context: CoreContext): Task<boolean> {
  // Added with the share ledger.
  return true;
}
