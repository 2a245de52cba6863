import { ROUTERS } from '../fleetSetup.ts';
import type { Organisation, PlannedRequest } from '../types.ts';
import type { ModelNetwork } from './network.ts';
import type { Admission, SpendModel } from './spendModel.ts';
import { AdmissionKind } from './spendModel.ts';

/**
 * Splits each budget equally over the routers in advance. A router with insufficient funds redirects once to the peer
 * in its region with the most funds. It always knows that peer, so that missing redirects don't weaken the baseline.
 */
export class StaticSplit implements SpendModel {
  readonly storeWrites = 0;
  readonly storeReads = 0;
  readonly linkBytes = 0;
  private readonly amounts = new Map<string, number[]>();
  /** Parts of top-ups that their routers cannot fetch yet, by organisation. */
  private readonly waiting = new Map<string, number[]>();

  constructor(
    organisations: readonly Organisation[],
    private readonly network: ModelNetwork,
  ) {
    for (const { organisationId, fundedMicros } of organisations) {
      this.amounts.set(organisationId, splitEqually(fundedMicros));
      this.waiting.set(
        organisationId,
        ROUTERS.map(() => 0),
      );
    }
  }

  admit(request: PlannedRequest, router: number): Admission {
    const amounts = this.amountsOf(request.organisationId);
    const payingRouter = this.covers(amounts, router, request) ? router : this.richestPeer(amounts, request);
    if (!this.covers(amounts, payingRouter, request)) {
      return { kind: AdmissionKind.Refused };
    }
    amounts[payingRouter] = (amounts[payingRouter] ?? 0) - request.worstCaseMicros;
    return { kind: AdmissionKind.Admitted, router: payingRouter };
  }

  finish(request: PlannedRequest, router: number): void {
    const amounts = this.amountsOf(request.organisationId);
    amounts[router] = (amounts[router] ?? 0) + request.worstCaseMicros - request.actualMicros;
  }

  topUp(organisationId: string, amountMicros: number): void {
    const waiting = this.waiting.get(organisationId);
    for (const [router, part] of splitEqually(amountMicros).entries()) {
      if (waiting !== undefined) {
        waiting[router] = (waiting[router] ?? 0) + part;
      }
    }
    this.tick();
  }

  tick(): void {
    for (const [organisationId, waiting] of this.waiting) {
      const amounts = this.amountsOf(organisationId);
      for (const [router, part] of waiting.entries()) {
        if (part > 0 && this.network.isAlive(router) && this.network.canReachStore(router)) {
          amounts[router] = (amounts[router] ?? 0) + part;
          waiting[router] = 0;
        }
      }
    }
  }

  strandedMicros(): number {
    const waiting = [...this.waiting.values()].flat().reduce((sum, part) => sum + part, 0);
    const dead = [...this.amounts.values()]
      .flatMap((amounts) => amounts.filter((_amount, router) => !this.network.isAlive(router)))
      .reduce((sum, part) => sum + part, 0);
    return waiting + dead;
  }

  private covers(amounts: readonly number[], router: number, request: PlannedRequest): boolean {
    return (amounts[router] ?? 0) >= request.worstCaseMicros;
  }

  private richestPeer(amounts: readonly number[], request: PlannedRequest): number {
    const peers = this.network.liveRoutersIn(request.region);
    return peers.sort((a, b) => (amounts[b] ?? 0) - (amounts[a] ?? 0))[0] ?? 0;
  }

  private amountsOf(organisationId: string): number[] {
    return this.amounts.get(organisationId) ?? [];
  }
}

/** Splits an amount equally; the remainder of the division goes to the first routers. */
function splitEqually(amountMicros: number): number[] {
  const part = Math.floor(amountMicros / ROUTERS.length);
  const rest = amountMicros - part * ROUTERS.length;
  return ROUTERS.map((_router, index) => part + (index < rest ? 1 : 0));
}
