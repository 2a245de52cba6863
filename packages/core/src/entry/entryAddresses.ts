import type { CoreContext } from '../context.ts';

/** The caller addresses that an organisation should use, best first. */
export function entryAddresses(context: CoreContext, _organisationId: string): string[] {
  return [context.board.identity.callerAddress];
}
