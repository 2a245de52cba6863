import type { CoreContext } from '../context.ts';
import { logInfo } from '../log.ts';
import type { Task } from '../scheduler/task.ts';
import { commitTransaction, readRows } from '../table/tableCalls.ts';
import type { TableRow } from '../types/table.ts';
import { ABSENT_ROW_VERSION, TableOutcomeKind } from '../types/table.ts';
import type { LeaseRow } from './leaseRow.ts';
import { decodeLease, leaseKey } from './leaseRow.ts';
import type { OrderLease } from './types.ts';

/**
 * Takes or renews the lease of a service; undefined if another router holds it or the store does not answer. A
 * commit whose answer was lost shows in the row at the next call.
 */
export function* holdLease(context: CoreContext, serviceId: string): Task<OrderLease | undefined> {
  const { leases } = context.board.orders;
  const startedAtMs = context.clock.monotonicMs;
  const key = leaseKey(serviceId);
  const rows = yield* readRows(context, [key]);
  const stored = rows?.get(key);
  const row = decodeLease(stored?.value);
  const isMine = row?.holderIncarnationId === context.board.incarnationId;
  if (rows === undefined) {
    return validLease(context, serviceId);
  }
  if (row !== undefined && !isMine && !isExpired(context, row)) {
    leases.delete(serviceId);
    return undefined;
  }
  const written = yield* writeLease(context, key, stored, row, isMine);
  if (!written) {
    return isMine ? validLease(context, serviceId) : undefined;
  }
  const fencingNumber = nextNumber(row, isMine);
  adoptLease(context, serviceId, { fencingNumber, startedAtMs, previous: isMine ? undefined : row });
  return validLease(context, serviceId);
}

/** The lease if orders may be given under it now. */
export function validLease(context: CoreContext, serviceId: string): OrderLease | undefined {
  const lease = context.board.orders.leases.get(serviceId);
  return lease !== undefined && context.clock.monotonicMs < lease.validUntilMs ? lease : undefined;
}

/** The holder's clock may be behind, so its lease is taken only after the allowance. */
function isExpired(context: CoreContext, row: LeaseRow): boolean {
  return context.clock.wallMs >= row.expiresAtMs + context.options.clockAllowanceMs;
}

function nextNumber(row: LeaseRow | undefined, isMine: boolean): number {
  const current = row?.fencingNumber ?? 0;
  return isMine ? current : current + 1;
}

function* writeLease(
  context: CoreContext,
  key: string,
  stored: TableRow | undefined,
  row: LeaseRow | undefined,
  isMine: boolean,
): Task<boolean> {
  const value = {
    holderIncarnationId: context.board.incarnationId,
    fencingNumber: nextNumber(row, isMine),
    expiresAtMs: context.clock.wallMs + context.options.orderLeaseMs,
  };
  const outcome = yield* commitTransaction(context, {
    checks: [{ key, expectedVersion: stored?.version ?? ABSENT_ROW_VERSION }],
    writes: [{ key, value }],
  });
  return outcome.kind === TableOutcomeKind.Committed;
}

interface AdoptedLease {
  readonly fencingNumber: number;
  /** Monotonic time before the row was written, so that the lease here ends before it ends for others. */
  readonly startedAtMs: number;
  /** Lease of another holder that this one follows. */
  readonly previous: LeaseRow | undefined;
}

function adoptLease(context: CoreContext, serviceId: string, adopted: AdoptedLease): void {
  const { options, clock, board } = context;
  const validUntilMs = adopted.startedAtMs + options.orderLeaseMs - options.clockAllowanceMs;
  const known = board.orders.leases.get(serviceId);
  if (known?.fencingNumber === adopted.fencingNumber) {
    known.validUntilMs = validUntilMs;
    return;
  }
  // The last holder stops at its lease's end, but an order that it had begun may arrive up to one pause later.
  const quietMs = adopted.previous === undefined ? 0 : options.pauseLimitMs + options.clockAllowanceMs;
  board.orders.leases.set(serviceId, {
    fencingNumber: adopted.fencingNumber,
    validUntilMs,
    quietUntilMs: clock.monotonicMs + quietMs,
    // What the last holder has ordered in this minute is not known.
    availableLoads: 0,
    refilledAtMs: clock.monotonicMs,
  });
  logInfo(context, 'This router gives the orders to the engines of a service.', {
    serviceId,
    fencingNumber: adopted.fencingNumber,
  });
}
