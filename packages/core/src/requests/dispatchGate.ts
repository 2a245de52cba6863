import { IncarnationStatus } from '../blackboard.ts';
import type { CoreContext } from '../context.ts';
import type { Reservation } from '../money/types.ts';

/**
 * Whether a request may be sent to an upstream now. After a pause the share, and with it the reservation, may have
 * been reclaimed; a new incarnation never spends the reservations of the old one.
 */
export function mayDispatch(context: CoreContext, reservation: Reservation | undefined): boolean {
  const { incarnationStatus, incarnationId } = context.board;
  const isOwn = reservation === undefined || reservation.incarnationId === incarnationId;
  return incarnationStatus === IncarnationStatus.Confirmed && isOwn;
}
