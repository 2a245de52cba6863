import type { PlannedRequest } from '../types.ts';

export enum AdmissionKind {
  Admitted = 'admitted',
  Refused = 'refused',
  /** Refused with Retry-After, because the store cannot be reached. */
  Unavailable = 'unavailable',
}

export type Admission =
  | {
      readonly kind: AdmissionKind.Admitted;
      /** Router whose money the request uses, after a redirect if one was needed. */
      readonly router: number;
    }
  | { readonly kind: AdmissionKind.Refused }
  | { readonly kind: AdmissionKind.Unavailable };

/** How a baseline decides on requests and where its money lies. */
export interface SpendModel {
  readonly storeWrites: number;
  readonly storeReads: number;
  readonly linkBytes: number;
  admit(request: PlannedRequest, router: number): Admission;
  finish(request: PlannedRequest, router: number): void;
  /** A top-up is accepted in the store's region. */
  topUp(organisationId: string, amountMicros: number): void;
  /** Called regularly, for what waits for the network to heal. */
  tick(): void;
  strandedMicros(): number;
}
