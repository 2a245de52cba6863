import type { JsonValue } from '../types/table.ts';

/** Content of `lease/{serviceId}`. */
export interface LeaseRow {
  readonly holderIncarnationId: string;
  readonly fencingNumber: number;
  /** Wall-clock time. */
  readonly expiresAtMs: number;
}

export const leaseKey = (serviceId: string): string => `lease/${serviceId}`;

/** The table holds only what routers wrote, so the row is taken in the form in which it was written. */
export const decodeLease = (value: JsonValue | undefined): LeaseRow | undefined =>
  value as unknown as LeaseRow | undefined;
