import type { CoreContext } from '../context.ts';

/** Starts the tasks that draw, settle, return and reclaim shares. */
export function startMoneyControllers(_context: CoreContext): void {
  // The money controllers are added with the share ledger.
}
