import type { PlannedRequest } from '../types.ts';

export enum AdmissionKind {
  Admitted = 'admitted',
  Refused = 'refused',
  /** Refused with Retry-After because the store is unreachable. */
  Unavailable = 'unavailable',
}

export type Admission =
  | {
      readonly kind: AdmissionKind.Admitted;
      /** Router whose funds pay for the request, after a redirect if one was needed. */
      readonly router: number;
    }
  | { readonly kind: AdmissionKind.Refused }
  | { readonly kind: AdmissionKind.Unavailable };

/** Admission policy of a baseline and the distribution of its funds. */
export interface SpendModel {
  readonly storeWrites: number;
  readonly storeReads: number;
  readonly linkBytes: number;
  admit(request: PlannedRequest, router: number): Admission;
  finish(request: PlannedRequest, router: number): void;
  /** Applies a top-up, which arrives in the store's region. */
  topUp(organisationId: string, amountMicros: number): void;
  /** Called at a regular interval to apply what is deferred until the network heals. */
  tick(): void;
  strandedMicros(): number;
}
