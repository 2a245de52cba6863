import { IncarnationStatus } from '../blackboard.ts';
import type { CoreContext } from '../context.ts';
import type { Reservation } from '../money/types.ts';

/**
 * Whether a request may be sent to an upstream now. While the router was paused, its budget share, and with it the
 * reservation, may have been reclaimed. A new incarnation never uses reservations of the previous one.
 */
export function mayDispatch(context: CoreContext, reservation: Reservation | undefined): boolean {
  const { incarnationStatus, incarnationId } = context.board;
  const isOwn = reservation === undefined || reservation.incarnationId === incarnationId;
  return incarnationStatus === IncarnationStatus.Confirmed && isOwn;
}
