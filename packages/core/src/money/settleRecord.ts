import type { UsageRecord } from '../types/messages.ts';
import { auditKey } from './keys.ts';
import type { LedgerPage } from './ledgerPage.ts';
import type { BillRow } from './rows.ts';
import { outstandingMicros, ShareState } from './rows.ts';

/** Wall-clock time of the settlement and the window in which settled identities are kept. */
export interface BillingTime {
  readonly wallMs: number;
  readonly windowMs: number;
}

/** Charges a usage record once, whoever settles it: an identity that is already in its bucket costs nothing. */
export function settleRecord(page: LedgerPage, record: UsageRecord, time: BillingTime): void {
  const bill = page.bill(record.requestId);
  const alreadySettled = bill.settled.some((entry) => entry.requestId === record.requestId);
  releaseHeld(page, bill, record.requestId);
  if (alreadySettled) {
    return;
  }
  const chargedMicros = charge(page, record);
  if (chargedMicros < record.amountMicros) {
    reportUncharged(page, record, time.wallMs);
  }
  bill.settled = bill.settled.filter((entry) => time.wallMs - entry.atMs < time.windowMs);
  bill.settled.push({ requestId: record.requestId, amountMicros: chargedMicros, atMs: time.wallMs });
  page.touchBill(record.requestId);
}

/** Ends the holds of an identity: the amounts return to the remainder, from which the charge may take them. */
function releaseHeld(page: LedgerPage, bill: BillRow, requestId: string): void {
  const held = bill.held.filter((entry) => entry.requestId === requestId);
  if (held.length > 0) {
    bill.held = bill.held.filter((entry) => entry.requestId !== requestId);
    page.changeHeld(-held.reduce((sum, entry) => sum + entry.amountMicros, 0));
    page.touchBill(requestId);
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
  // The hold of this identity, if there was one, has just become part of the remainder.
  if (page.freeMicros >= amountMicros) {
    page.settleFromRemainder(amountMicros);
    return amountMicros;
  }
  return 0;
}

function reportUncharged(page: LedgerPage, record: UsageRecord, wallMs: number): void {
  const { requestId, organisationId, incarnationId, amountMicros } = record;
  page.addWrite(auditKey(wallMs, `uncharged-${organisationId}-${requestId}`), {
    kind: 'uncharged',
    requestId,
    organisationId,
    incarnationId,
    amountMicros,
  });
}
