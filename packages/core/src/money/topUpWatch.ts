import type { CoreContext } from '../context.ts';
import { hash32 } from '../hash.ts';
import { liveRegionPeers } from '../membership/livePeers.ts';
import type { BudgetSection } from '../types/configuration.ts';

/** Full scans are repeated so that a top-up is applied even if the router responsible for it has died. */
const FULL_SCAN_INTERVAL_MS = 10_000;

/**
 * Finds budgets with top-ups that are not known to be applied. One router of the region applies a top-up at once;
 * the others apply it with their next transaction on the budget if it is still missing. Without this split every
 * router would write every changed budget.
 */
export class TopUpWatch {
  private revision: number | undefined;
  private scannedAtMs = -Infinity;

  /** Returns the organisations whose budget this router should synchronise now. */
  findDueOrganisations(context: CoreContext): string[] {
    const { configuration } = context.board;
    const { monotonicMs } = context.clock;
    const unchanged = configuration?.revision === this.revision;
    if (
      configuration === undefined ||
      (unchanged && monotonicMs - this.scannedAtMs < FULL_SCAN_INTERVAL_MS)
    ) {
      return [];
    }
    if (context.board.money.registeredIncarnationId === undefined) {
      return [];
    }
    this.revision = configuration.revision;
    this.scannedAtMs = monotonicMs;
    const ownAddress = context.board.identity.peerAddress;
    // Computed once per scan, because a document may hold tens of thousands of budgets.
    const peerAddresses = liveRegionPeers(context).map((peer) => peer.sender.peerAddress);
    return configuration.document.budgets
      .filter((budget) => hasUnappliedTopUp(context, budget))
      .filter((budget) => isPreferredRouter(budget.organisationId, ownAddress, peerAddresses))
      .map((budget) => budget.organisationId);
  }
}

function hasUnappliedTopUp(context: CoreContext, budget: BudgetSection): boolean {
  const known = context.board.money.organisations.get(budget.organisationId)?.appliedTopUpIds;
  return budget.topUps.some((topUp) => known?.has(topUp.topUpId) !== true);
}

/** True if this router has the highest rendezvous weight of the region for the organisation. */
function isPreferredRouter(
  organisationId: string,
  ownAddress: string,
  peerAddresses: readonly string[],
): boolean {
  const weight = (address: string): number => hash32(`${organisationId}|${address}`);
  const ownWeight = weight(ownAddress);
  return peerAddresses.every((address) => weight(address) <= ownWeight);
}
