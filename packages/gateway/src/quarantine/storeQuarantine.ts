import type { Task } from '@pimentostall/core';
import { isAmongFirst, receive, sleepUntil } from '@pimentostall/core';
import type { GatewayContext } from '../context.ts';
import { LogLevel } from '../observability/log.ts';
import { applySuspectChanges } from './applySuspectChanges.ts';
import type { QuarantineStore, SuspectReport } from './types.ts';

/** Routers that store a change; a second one, since the first may have just ended. */
const WRITERS_PER_PART = 2;
/** Delay before a failed write is repeated. */
const RETRY_DELAY_MS = 500;

/** Reads the quarantined parts that outlasted the end of all routers. */
export function* readQuarantine(context: GatewayContext, store: QuarantineStore): Task<void> {
  const { board, log, loop } = context;
  const reports = yield* loop.settled(store.read());
  log(LogLevel.Info, 'quarantined parts read from the store', { count: reports?.length });
  for (const report of reports ?? []) {
    if (isOutdated(context, report)) {
      const isRemoved = yield* loop.settled(store.remove(report.partId));
      log(LogLevel.Info, 'outdated row of a quarantined part', { partId: report.partId, isRemoved });
    } else {
      applySuspectChanges(context, board.quarantine.table.merge(report, loop.nowMs()), 'store');
    }
  }
}

/** Whether no router can hold the quarantine any more, since its last probe was due long ago. */
function isOutdated({ options }: GatewayContext, { crashes }: SuspectReport): boolean {
  const { crashRetentionMs, quarantineMaxMs } = options.quarantine;
  const youngestMs = Math.min(...Object.values(crashes).map(({ ageMs }) => ageMs));
  return youngestMs > quarantineMaxMs + crashRetentionMs;
}

/** Stores each change of a quarantine. All routers learn of it; two of them, chosen by its part, write it. */
export function* storeQuarantine(context: GatewayContext, store: QuarantineStore): Task<void> {
  const { board, log, loop, self } = context;
  const { table, unstored } = board.quarantine;
  const pending = new Set<string>();
  while (!board.stopped) {
    const partId = yield* receive(unstored, pending.size > 0 ? loop.nowMs() + RETRY_DELAY_MS : Infinity);
    if (partId !== undefined && isAmongFirst(partId, self.routerId, board.routers.keys(), WRITERS_PER_PART)) {
      pending.add(partId);
    }
    for (const changedPartId of pending) {
      const [report] = table.reports(loop.nowMs(), [changedPartId]);
      const isStored: boolean = yield* loop.settled(
        report?.probation === undefined ? store.remove(changedPartId) : store.write(report),
      );
      if (!isStored) {
        log(LogLevel.Debug, 'failed to store a quarantined part; trying again', { partId: changedPartId });
        yield* sleepUntil(loop.nowMs() + RETRY_DELAY_MS);
        break;
      }
      pending.delete(changedPartId);
    }
  }
}
