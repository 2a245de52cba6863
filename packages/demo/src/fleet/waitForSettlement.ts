import type { CallRecord } from '../auditor/types.ts';
import type { FleetPlan } from '../deployment/fleetPlan.ts';
import { readLedgerRows, unbilledCount } from './collectEvidence.ts';

const SETTLEMENT_TIMEOUT_MS = 8_000;
const SETTLEMENT_POLL_INTERVAL_MS = 500;

/** Waits until every answer is billed, up to a time limit. */
export async function waitForSettlement(
  plan: FleetPlan,
  calls: readonly CallRecord[],
  progress: (message: string) => void,
): Promise<void> {
  const deadlineMs = Date.now() + SETTLEMENT_TIMEOUT_MS;
  let unbilledAnswers = unbilledCount(await readLedgerRows(plan.platformAddress), calls);
  while (unbilledAnswers > 0 && Date.now() < deadlineMs) {
    await new Promise((resolve) => setTimeout(resolve, SETTLEMENT_POLL_INTERVAL_MS));
    unbilledAnswers = unbilledCount(await readLedgerRows(plan.platformAddress), calls);
  }
  progress(
    unbilledAnswers === 0
      ? 'all answers are billed'
      : `${unbilledAnswers} answers are not billed at the time limit`,
  );
}
