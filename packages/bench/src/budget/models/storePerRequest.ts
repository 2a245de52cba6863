import { FAR_REGION } from '@pimentostall/faults';
import { AllKnowingLedger } from '../allKnowingLedger.ts';
import { ROUTERS } from '../fleetSetup.ts';
import type { Organisation, PlannedRequest } from '../types.ts';
import type { ModelNetwork } from './network.ts';
import type { Admission, SpendModel } from './spendModel.ts';
import { AdmissionKind } from './spendModel.ts';

/**
 * Makes one store transaction per request and refuses requests while the store is unreachable. Releasing the unused
 * part of a reservation is free and immediate, which favours this baseline.
 */
export class StorePerRequest implements SpendModel {
  storeWrites = 0;
  storeReads = 0;
  linkBytes = 0;
  private readonly ledger: AllKnowingLedger;

  constructor(
    private readonly organisations: readonly Organisation[],
    private readonly network: ModelNetwork,
  ) {
    this.ledger = new AllKnowingLedger(organisations);
  }

  admit(request: PlannedRequest, router: number): Admission {
    const { organisationId, worstCaseMicros } = request;
    if (!this.network.canReachStore(router)) {
      return { kind: AdmissionKind.Unavailable };
    }
    this.storeReads += 1;
    this.countLinkBytes(request, router);
    if (!this.ledger.covers(organisationId, worstCaseMicros)) {
      return { kind: AdmissionKind.Refused };
    }
    this.storeWrites += 1;
    this.ledger.start(organisationId, worstCaseMicros);
    return { kind: AdmissionKind.Admitted, router };
  }

  finish(request: PlannedRequest): void {
    this.ledger.finish(request.organisationId, request.worstCaseMicros, request.actualMicros);
  }

  topUp(organisationId: string, amountMicros: number): void {
    this.ledger.fund(organisationId, amountMicros);
  }

  tick(): void {
    // All funds are in the store, so nothing is deferred.
  }

  strandedMicros(): number {
    if (this.network.isStoreReachable) {
      return 0;
    }
    return this.organisations.reduce(
      (sum, { organisationId }) => sum + this.ledger.availableBudgetMicros(organisationId),
      0,
    );
  }

  /** Adds the size of the transaction and its reply, as a router in the far region would exchange them. */
  private countLinkBytes({ organisationId, key, worstCaseMicros }: PlannedRequest, router: number): void {
    if (ROUTERS[router]?.region === FAR_REGION) {
      const budget = { key: `budget/${organisationId}`, version: 1, value: { worstCaseMicros } };
      const bill = { key: `bill/${organisationId}/0`, version: 1, value: { key, worstCaseMicros } };
      this.linkBytes += JSON.stringify({ checks: [budget, bill], writes: [budget, bill] }).length;
    }
  }
}
