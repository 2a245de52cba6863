import type { CallRecord } from '../auditor/types.ts';
import type { FleetPlan } from '../deployment/fleetPlan.ts';
import { readMoneyRows, unbilledCount } from './collectEvidence.ts';

const SETTLE_LIMIT_MS = 8_000;
const SETTLE_POLL_MS = 500;

/** Waits a bounded time until every answer is billed. */
export async function waitForSettlement(
  plan: FleetPlan,
  calls: readonly CallRecord[],
  progress: (message: string) => void,
): Promise<void> {
  const deadlineMs = Date.now() + SETTLE_LIMIT_MS;
  let unbilled = unbilledCount(await readMoneyRows(plan.platformAddress), calls);
  while (unbilled > 0 && Date.now() < deadlineMs) {
    await new Promise((resolve) => setTimeout(resolve, SETTLE_POLL_MS));
    unbilled = unbilledCount(await readMoneyRows(plan.platformAddress), calls);
  }
  progress(
    unbilled === 0 ? 'all answers are billed' : `${unbilled} answers are not billed at the time limit`,
  );
}
