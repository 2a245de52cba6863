import type { CoreContext } from '../context.ts';
import { hash32 } from '../hash.ts';
import { liveRegionPeers } from '../membership/livePeers.ts';
import type { BudgetSection } from '../types/configuration.ts';

/** A full pass is repeated so that a top-up is applied although the router that should have done it died. */
const PASS_INTERVAL_MS = 10_000;

/**
 * Finds budgets with top-ups that are not known to be applied. One router of the region applies a top-up at once;
 * the others apply it with their next transaction on the budget if it is still missing. Otherwise every router
 * would write every changed budget.
 */
export class TopUpWatch {
  private revision: number | undefined;
  private passedAtMs = -Infinity;

  /** Organisations whose budget this router should bring up to date now. */
  due(context: CoreContext): string[] {
    const { configuration } = context.board;
    const { monotonicMs } = context.clock;
    const unchanged = configuration?.revision === this.revision;
    if (configuration === undefined || (unchanged && monotonicMs - this.passedAtMs < PASS_INTERVAL_MS)) {
      return [];
    }
    if (context.board.money.registeredIncarnationId === undefined) {
      return [];
    }
    this.revision = configuration.revision;
    this.passedAtMs = monotonicMs;
    const ownAddress = context.board.identity.peerAddress;
    // Listed once for the pass, because a document may hold tens of thousands of budgets.
    const peerAddresses = liveRegionPeers(context).map((peer) => peer.sender.peerAddress);
    return configuration.document.budgets
      .filter((budget) => hasUnknownTopUp(context, budget))
      .filter((budget) => isFirst(budget.organisationId, ownAddress, peerAddresses))
      .map((budget) => budget.organisationId);
  }
}

function hasUnknownTopUp(context: CoreContext, budget: BudgetSection): boolean {
  const known = context.board.money.organisations.get(budget.organisationId)?.appliedTopUpIds;
  return budget.topUps.some((topUp) => known?.has(topUp.topUpId) !== true);
}

/** True for the router with the highest hash weight of the region. */
function isFirst(organisationId: string, ownAddress: string, peerAddresses: readonly string[]): boolean {
  const weight = (address: string): number => hash32(`${organisationId}|${address}`);
  const ownWeight = weight(ownAddress);
  return peerAddresses.every((address) => weight(address) <= ownWeight);
}
