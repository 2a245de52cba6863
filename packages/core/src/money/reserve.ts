import type { Result } from 'neverthrow';
import { err } from 'neverthrow';
import type { CoreContext } from '../context.ts';
import type { Task } from '../scheduler/task.ts';
import { RefusalReason } from '../types/verdict.ts';
import type { Reservation } from './types.ts';

export interface ReserveRequest {
  readonly requestId: string;
  readonly organisationId: string;
  /** Worst case of the request. */
  readonly amountMicros: number;
  /** Monotonic time after which the wait for a draw or a release is given up. */
  readonly deadlineMs: number;
}

export interface ReserveFailure {
  readonly reason: RefusalReason.BudgetExhausted | RefusalReason.StoreUnavailable | RefusalReason.Paused;
  /** Caller address of a peer in the region whose share covers the request, if one is known. */
  readonly redirectAddress: string | undefined;
}

/** Sets the worst case of a request aside in this router's share, waiting a bounded time if the share is short. */
export function* reserve(
  _context: CoreContext,
  _request: ReserveRequest,
): Task<Result<Reservation, ReserveFailure>> {
  return err({ reason: RefusalReason.StoreUnavailable, redirectAddress: undefined });
}
