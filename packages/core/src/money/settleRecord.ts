import type { UsageRecord } from '../types/messages.ts';
import { auditKey } from './keys.ts';
import type { LedgerPage } from './ledgerPage.ts';
import type { BillRow } from './rows.ts';
import { outstandingMicros, ShareState } from './rows.ts';

/** Wall-clock time of the settlement and the retention window of settled identities. */
export interface BillingTime {
  readonly wallMs: number;
  readonly windowMs: number;
}

/** Charges a usage record at most once, whichever router settles it: a settled identity is not charged again. */
export function settleRecord(page: LedgerPage, record: UsageRecord, time: BillingTime): void {
  const bill = page.bill(record.requestId);
  const alreadySettled = bill.settled.some((entry) => entry.requestId === record.requestId);
  releaseHolds(page, bill, record.requestId);
  if (alreadySettled) {
    return;
  }
  const chargedMicros = charge(page, record);
  if (chargedMicros < record.amountMicros) {
    auditUnchargedUsage(page, record, time.wallMs);
  }
  bill.settled = bill.settled.filter((entry) => time.wallMs - entry.atMs < time.windowMs);
  bill.settled.push({ requestId: record.requestId, amountMicros: chargedMicros, atMs: time.wallMs });
  page.markBillChanged(record.requestId);
}

/** Ends the holds of an identity; the amounts become unallocated, so that the charge can use them. */
function releaseHolds(page: LedgerPage, bill: BillRow, requestId: string): void {
  const held = bill.held.filter((entry) => entry.requestId === requestId);
  if (held.length > 0) {
    bill.held = bill.held.filter((entry) => entry.requestId !== requestId);
    page.adjustHeld(-held.reduce((sum, entry) => sum + entry.amountMicros, 0));
    page.markBillChanged(requestId);
  }
}

function charge(page: LedgerPage, record: UsageRecord): number {
  const { incarnationId, amountMicros } = record;
  const share = page.share(incarnationId);
  const shareCovers = share?.state === ShareState.Active && outstandingMicros(share) >= amountMicros;
  if (shareCovers) {
    page.settleFromShare(incarnationId, amountMicros);
    return amountMicros;
  }
  // This includes the hold of the identity, if there was one: it has just been released.
  if (page.freeMicros >= amountMicros) {
    page.settleFromUnallocated(amountMicros);
    return amountMicros;
  }
  return 0;
}

function auditUnchargedUsage(page: LedgerPage, record: UsageRecord, wallMs: number): void {
  const { requestId, organisationId, incarnationId, amountMicros } = record;
  page.addWrite(auditKey(wallMs, `uncharged-${organisationId}-${requestId}`), {
    kind: 'uncharged',
    requestId,
    organisationId,
    incarnationId,
    amountMicros,
  });
}
