import type { CoreContext } from '../context.ts';
import type { UsageRecord } from '../types/messages.ts';
import { RecordState } from '../types/messages.ts';

/** Usage records that this router settles: owned ones of any incarnation, and copies whose owner is gone. */
export function allSettleableRecords(context: CoreContext): UsageRecord[] {
  const { ownRecords, copies, orphanKeys } = context.board.money;
  const orphans = [...orphanKeys].flatMap((key) => copies.get(key)?.record ?? []);
  return [...ownRecords.values(), ...orphans].filter((record) => record.state === RecordState.Used);
}

export function settleableRecords(context: CoreContext, organisationId: string): UsageRecord[] {
  return allSettleableRecords(context).filter((record) => record.organisationId === organisationId);
}
