import type { CoreContext } from '../context.ts';
import { logInfo } from '../log.ts';
import type { Task } from '../scheduler/task.ts';
import { sleepUntil } from '../scheduler/task.ts';
import { commitTransaction, readRows, scanRows } from '../table/tableCalls.ts';
import type { UsageRecord } from '../types/messages.ts';
import { RecordState } from '../types/messages.ts';
import type { RowWrite } from '../types/table.ts';
import { ABSENT_ROW_VERSION, TableOutcomeKind } from '../types/table.ts';
import type { OpenRecords } from './collectOpenRecords.ts';
import { collectOpenRecords } from './collectOpenRecords.ts';
import { auditKey, recordKey, routerKey, SHARE_PREFIX } from './keys.ts';
import { reclaimShare } from './reclaimShare.ts';
import type { RouterRow } from './rows.ts';
import { decodeRouter, encodeRow, RouterRowState } from './rows.ts';

/** Bounds the collection: peers do not answer as long as they hear heartbeats of the fenced router. */
const MAX_COLLECT_ROUNDS = 5;

/** Reclaims the shares of one incarnation, from the fence to the audit row. Every step is idempotent. */
export function* reclaim(context: CoreContext, incarnationId: string): Task<void> {
  const { reclaiming, suspectSinceMs } = context.board.money;
  reclaiming.add(incarnationId);
  try {
    const fenced = yield* fenceIncarnation(context, incarnationId);
    if (!fenced) {
      return;
    }
    yield* sleepUntil(context.clock.monotonicMs + context.options.fenceWaitMs);
    const { records, complete } = yield* collectOpenRecordsWithRetries(context, incarnationId);
    const organisationIds = yield* closeShares(context, incarnationId, records);
    adoptRecordsWithoutShare(context, records, organisationIds);
    yield* markGone(context, incarnationId, { shareCount: organisationIds.size, complete });
  } finally {
    reclaiming.delete(incarnationId);
    suspectSinceMs.delete(incarnationId);
  }
}

function* waitBeforeRetry(context: CoreContext): Task<void> {
  yield* sleepUntil(context.clock.monotonicMs + context.options.shareCheckIntervalMs);
}

/** Writes a new state of a router row; false if the row is missing, already Gone, or could not be written. */
function* writeRouterState(
  context: CoreContext,
  incarnationId: string,
  state: RouterRowState,
  extraWrites: readonly RowWrite[],
): Task<boolean> {
  const key = routerKey(incarnationId);
  const rows = yield* readRows(context, [key]);
  const row = decodeRouter(rows?.get(key)?.value);
  if (row === undefined || row.state === state) {
    return row?.state === state;
  }
  if (row.state === RouterRowState.Gone) {
    return false;
  }
  const fencing = { fencedAtMs: context.clock.wallMs, fencedBy: context.board.incarnationId };
  const next: RouterRow = { ...row, ...(state === RouterRowState.Fenced ? fencing : {}), state };
  const outcome = yield* commitTransaction(context, {
    checks: [{ key, expectedVersion: rows?.get(key)?.version ?? ABSENT_ROW_VERSION }],
    writes: [{ key, value: encodeRow(next) }, ...extraWrites],
  });
  return outcome.kind === TableOutcomeKind.Committed;
}

/** Makes a single attempt: the next check re-evaluates the incarnation before it fences. */
function* fenceIncarnation(context: CoreContext, incarnationId: string): Task<boolean> {
  const written = yield* writeRouterState(context, incarnationId, RouterRowState.Fenced, []);
  if (written) {
    logInfo(context, 'An incarnation was fenced; its shares will be reclaimed.', { incarnationId });
  }
  return written;
}

function* collectOpenRecordsWithRetries(context: CoreContext, incarnationId: string): Task<OpenRecords> {
  let found = yield* collectOpenRecords(context, incarnationId);
  for (let round = 1; round < MAX_COLLECT_ROUNDS && !found.complete; round += 1) {
    found = yield* collectOpenRecords(context, incarnationId);
  }
  return found;
}

/** Closes all shares of the incarnation and returns their organisations. */
function* closeShares(
  context: CoreContext,
  incarnationId: string,
  records: readonly UsageRecord[],
): Task<ReadonlySet<string>> {
  let shareRows = yield* scanRows(context, SHARE_PREFIX);
  while (shareRows === undefined) {
    yield* waitBeforeRetry(context);
    shareRows = yield* scanRows(context, SHARE_PREFIX);
  }
  const suffix = `/${incarnationId}`;
  const keys = [...shareRows.keys()].filter((key) => key.endsWith(suffix));
  const organisationIds = keys.map((key) => key.slice(SHARE_PREFIX.length, -suffix.length));
  for (const organisationId of organisationIds) {
    const organisationRecords = records.filter((record) => record.organisationId === organisationId);
    while (!(yield* reclaimShare(context, { organisationId, incarnationId, records: organisationRecords }))) {
      yield* waitBeforeRetry(context);
    }
  }
  return new Set(organisationIds);
}

/** Leaves usage that has no share row to the settlement, which charges it to the unallocated part of the budget. */
function adoptRecordsWithoutShare(
  context: CoreContext,
  records: readonly UsageRecord[],
  organisationIds: ReadonlySet<string>,
): void {
  const { money, incarnationId, identity } = context.board;
  for (const record of records) {
    const key = recordKey(record);
    const settled = organisationIds.has(record.organisationId) || money.ownRecords.has(key);
    if (record.state === RecordState.Used && !settled && incarnationId !== record.incarnationId) {
      money.copies.set(key, {
        record,
        receivedAtMs: context.clock.monotonicMs,
        ownerVmId: identity.vmId,
        ownerPeerAddress: identity.peerAddress,
      });
      money.orphanKeys.add(key);
    }
  }
}

function* markGone(
  context: CoreContext,
  incarnationId: string,
  findings: { readonly shareCount: number; readonly complete: boolean },
): Task<void> {
  const audit: RowWrite = {
    key: auditKey(context.clock.wallMs, `reclaim-${incarnationId}`),
    value: { kind: 'reclaim', incarnationId, reclaimedBy: context.board.incarnationId, ...findings },
  };
  while (!(yield* writeRouterState(context, incarnationId, RouterRowState.Gone, [audit]))) {
    yield* waitBeforeRetry(context);
  }
}
