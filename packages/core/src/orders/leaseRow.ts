import type { JsonValue } from '../types/table.ts';

/** Value of the row `lease/{serviceId}`. */
export interface LeaseRow {
  readonly holderIncarnationId: string;
  readonly fencingNumber: number;
  /** Wall-clock time. */
  readonly expiresAtMs: number;
}

export const leaseKey = (serviceId: string): string => `lease/${serviceId}`;

/** Only routers write this row, so it is decoded without validation. */
export const decodeLease = (value: JsonValue | undefined): LeaseRow | undefined =>
  value as unknown as LeaseRow | undefined;
