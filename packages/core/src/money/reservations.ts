import type { CoreContext } from '../context.ts';
import type { Task } from '../scheduler/task.ts';
import type { UsageRecord } from '../types/messages.ts';
import type { Reservation } from './types.ts';

/**
 * Copies the reservation to peers of the region and waits for the first acknowledgement, so that the money of a
 * request that may run is known after this router's death.
 */
export function* protectReservation(
  _context: CoreContext,
  _reservation: Reservation,
  _upstreamAddress: string | undefined,
): Task<void> {
  // Added with the share ledger.
}

/**
 * Turns a reservation into a usage record and waits, for a bounded time, until a peer or the table holds it. The
 * caller of this function sends the last byte of the answer only after it returned.
 */
export function* completeReservation(
  _context: CoreContext,
  _reservation: Reservation,
  _usedMicros: number,
): Task<void> {
  // Added with the share ledger.
}

/** Gives a reservation back whose request certainly did not run. */
export function releaseReservation(_context: CoreContext, _reservation: Reservation): void {
  // Added with the share ledger.
}

export interface RecordFindings {
  readonly records: readonly UsageRecord[];
  /** Caller address of a peer that serves a request with this identity now. */
  readonly runningAddress: string | undefined;
}

/** Asks the peers of the region what they know of a request identity. */
export function* findRecords(_context: CoreContext, _requestId: string): Task<RecordFindings> {
  return { records: [], runningAddress: undefined };
}
