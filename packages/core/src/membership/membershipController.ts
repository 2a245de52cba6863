import { awaitReply } from '../context.ts';
import type { CoreContext } from '../context.ts';
import type { Task } from '../scheduler/task.ts';
import { sleepUntil } from '../scheduler/task.ts';
import { EffectKind } from '../types/effects.ts';
import type { VmRow } from '../types/membership.ts';
import { removeStalePeers } from './removeStalePeers.ts';

/** Periodically reads the platform's membership list. */
export function* membershipController(context: CoreContext): Task<void> {
  for (;;) {
    const startedAtMs = context.clock.monotonicMs;
    const rows = yield* readMembership(context);
    if (rows !== undefined) {
      applyMembership(context, rows);
    }
    removeStalePeers(context);
    yield* sleepUntil(startedAtMs + context.options.membershipIntervalMs);
  }
}

function* readMembership(context: CoreContext): Task<readonly VmRow[] | undefined> {
  const callId = context.newId();
  context.emit({ kind: EffectKind.MembershipRead, callId });
  const deadlineMs = context.clock.monotonicMs + context.options.tableTimeoutMs;
  const reply = yield* awaitReply(context.board.replyChannels.membershipCalls, callId, deadlineMs);
  return reply?.rows;
}

/** Replaces the list and records since when each previously listed VM has been absent. */
function applyMembership(context: CoreContext, rows: readonly VmRow[]): void {
  const view = context.board.membership;
  const nowMs = context.clock.monotonicMs;
  view.vms = new Map(rows.map((row) => [row.vmId, row]));
  view.listReadAtMs = nowMs;
  for (const [vmId, absentSinceMs] of view.absentSinceMs) {
    if (!view.vms.has(vmId)) {
      view.absentSinceMs.set(vmId, absentSinceMs ?? nowMs);
    }
  }
  for (const { vmId } of rows) {
    view.absentSinceMs.set(vmId, undefined);
  }
}
