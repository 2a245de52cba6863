import { FAR_REGION } from '@pimentostall/faults';
import { AllKnowingLedger } from '../allKnowingLedger.ts';
import { ROUTERS } from '../fleetSetup.ts';
import type { Organisation, PlannedRequest } from '../types.ts';
import type { ModelNetwork } from './network.ts';
import type { Admission, SpendModel } from './spendModel.ts';
import { AdmissionKind } from './spendModel.ts';

/**
 * One store transaction for each request, and a refusal if the store cannot be reached. The release of what a
 * request did not use is free and immediate, which favours this baseline.
 */
export class StorePerRequest implements SpendModel {
  storeWrites = 0;
  storeReads = 0;
  linkBytes = 0;
  private readonly rows: AllKnowingLedger;

  constructor(
    private readonly organisations: readonly Organisation[],
    private readonly network: ModelNetwork,
  ) {
    this.rows = new AllKnowingLedger(organisations);
  }

  admit(request: PlannedRequest, router: number): Admission {
    const { organisationId, worstCaseMicros } = request;
    if (!this.network.reachesStore(router)) {
      return { kind: AdmissionKind.Unavailable };
    }
    this.storeReads += 1;
    this.meter(request, router);
    if (!this.rows.covers(organisationId, worstCaseMicros)) {
      return { kind: AdmissionKind.Refused };
    }
    this.storeWrites += 1;
    this.rows.start(organisationId, worstCaseMicros);
    return { kind: AdmissionKind.Admitted, router };
  }

  finish(request: PlannedRequest): void {
    this.rows.finish(request.organisationId, request.worstCaseMicros, request.actualMicros);
  }

  topUp(organisationId: string, amountMicros: number): void {
    this.rows.fund(organisationId, amountMicros);
  }

  tick(): void {
    // All money is in the store.
  }

  strandedMicros(): number {
    if (this.network.storeIsAsked) {
      return 0;
    }
    return this.organisations.reduce(
      (sum, { organisationId }) => sum + this.rows.remainderMicros(organisationId),
      0,
    );
  }

  /** The transaction and its answer, as the far region would send them. */
  private meter({ organisationId, key, worstCaseMicros }: PlannedRequest, router: number): void {
    if (ROUTERS[router]?.region === FAR_REGION) {
      const budget = { key: `budget/${organisationId}`, version: 1, value: { worstCaseMicros } };
      const bill = { key: `bill/${organisationId}/0`, version: 1, value: { key, worstCaseMicros } };
      this.linkBytes += JSON.stringify({ checks: [budget, bill], writes: [budget, bill] }).length;
    }
  }
}
