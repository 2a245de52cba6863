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
 * Acquires or renews the lease of a service. Without an answer of the store the current lease is kept while it is
 * valid; undefined if there is none or if another router holds the lease. If the answer to a commit is lost, the next
 * call reads from the row whether it took effect.
 */
export function* acquireLease(context: CoreContext, serviceId: string): Task<OrderLease | undefined> {
  const { leases } = context.board.orders;
  const startedAtMs = context.clock.monotonicMs;
  const key = leaseKey(serviceId);
  const rows = yield* readRows(context, [key]);
  const stored = rows?.get(key);
  const row = decodeLease(stored?.value);
  const isOwn = row?.holderIncarnationId === context.board.incarnationId;
  if (rows === undefined) {
    return validLease(context, serviceId);
  }
  if (row !== undefined && !isOwn && !isExpired(context, row)) {
    leases.delete(serviceId);
    return undefined;
  }
  const written = yield* writeLease(context, key, stored, row, isOwn);
  if (!written) {
    return isOwn ? validLease(context, serviceId) : undefined;
  }
  const fencingNumber = nextFencingNumber(row, isOwn);
  storeLease(context, serviceId, { fencingNumber, startedAtMs, previous: isOwn ? undefined : row });
  return validLease(context, serviceId);
}

/** Returns the lease if orders may be sent under it now. */
export function validLease(context: CoreContext, serviceId: string): OrderLease | undefined {
  const lease = context.board.orders.leases.get(serviceId);
  return lease !== undefined && context.clock.monotonicMs < lease.validUntilMs ? lease : undefined;
}

/** The holder's clock may be behind, so its lease counts as expired only after the clock allowance. */
function isExpired(context: CoreContext, row: LeaseRow): boolean {
  return context.clock.wallMs >= row.expiresAtMs + context.options.clockAllowanceMs;
}

function nextFencingNumber(row: LeaseRow | undefined, isOwn: boolean): number {
  const current = row?.fencingNumber ?? 0;
  return isOwn ? current : current + 1;
}

function* writeLease(
  context: CoreContext,
  key: string,
  stored: TableRow | undefined,
  row: LeaseRow | undefined,
  isOwn: boolean,
): Task<boolean> {
  const value = {
    holderIncarnationId: context.board.incarnationId,
    fencingNumber: nextFencingNumber(row, isOwn),
    expiresAtMs: context.clock.wallMs + context.options.orderLeaseMs,
  };
  const outcome = yield* commitTransaction(context, {
    checks: [{ key, expectedVersion: stored?.version ?? ABSENT_ROW_VERSION }],
    writes: [{ key, value }],
  });
  return outcome.kind === TableOutcomeKind.Committed;
}

interface AcquiredLease {
  readonly fencingNumber: number;
  /** Monotonic time from before the row was written, so that the lease ends here before it ends for other routers. */
  readonly startedAtMs: number;
  /** Lease of the previous holder, if that was another router. */
  readonly previous: LeaseRow | undefined;
}

function storeLease(context: CoreContext, serviceId: string, acquired: AcquiredLease): void {
  const { options, clock, board } = context;
  const validUntilMs = acquired.startedAtMs + options.orderLeaseMs - options.clockAllowanceMs;
  const known = board.orders.leases.get(serviceId);
  if (known?.fencingNumber === acquired.fencingNumber) {
    known.validUntilMs = validUntilMs;
    return;
  }
  // The previous holder stops when its lease ends, but an order that it had started may arrive up to one pause later.
  const unfencedDelayMs =
    acquired.previous === undefined ? 0 : options.pauseLimitMs + options.clockAllowanceMs;
  board.orders.leases.set(serviceId, {
    fencingNumber: acquired.fencingNumber,
    validUntilMs,
    unfencedOrdersFromMs: clock.monotonicMs + unfencedDelayMs,
    // The loads that the previous holder ordered in the past minute are unknown.
    availableLoads: 0,
    refilledAtMs: clock.monotonicMs,
  });
  logInfo(context, 'This router now sends the orders to the engines of a service.', {
    serviceId,
    fencingNumber: acquired.fencingNumber,
  });
}
