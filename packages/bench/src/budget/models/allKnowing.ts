import { AllKnowingLedger } from '../allKnowingLedger.ts';
import type { Organisation, PlannedRequest } from '../types.ts';
import type { Admission, SpendModel } from './spendModel.ts';
import { AdmissionKind } from './spendModel.ts';

/** Upper bound: refuses only what the budget does not cover. Every region has engines, so upstreams refuse nothing. */
export class AllKnowing implements SpendModel {
  readonly storeWrites = 0;
  readonly storeReads = 0;
  readonly linkBytes = 0;
  private readonly ledger: AllKnowingLedger;

  constructor(organisations: readonly Organisation[]) {
    this.ledger = new AllKnowingLedger(organisations);
  }

  admit({ organisationId, worstCaseMicros }: PlannedRequest, router: number): Admission {
    if (!this.ledger.covers(organisationId, worstCaseMicros)) {
      return { kind: AdmissionKind.Refused };
    }
    this.ledger.start(organisationId, worstCaseMicros);
    return { kind: AdmissionKind.Admitted, router };
  }

  finish({ organisationId, worstCaseMicros, actualMicros }: PlannedRequest): void {
    this.ledger.finish(organisationId, worstCaseMicros, actualMicros);
  }

  topUp(organisationId: string, amountMicros: number): void {
    this.ledger.fund(organisationId, amountMicros);
  }

  tick(): void {
    // No work is deferred until the network heals.
  }

  strandedMicros(): number {
    return 0;
  }
}
