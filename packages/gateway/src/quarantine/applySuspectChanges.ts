import type { GatewayContext } from '../context.ts';
import { LogLevel } from '../observability/log.ts';
import { SuspectNewsKind } from './quarantineState.ts';
import type { SuspectChange } from './suspectTable.ts';
import { PartChange } from './suspectTable.ts';

/**
 * Makes changes of the suspects take effect: withdraws attempts with a part that is now quarantined, and passes the
 * changes on to the tasks that tell other routers and the store.
 *
 * @param source id of the router that reported the changes; undefined if this router saw their cause itself
 */
export function applySuspectChanges(
  context: GatewayContext,
  changes: readonly SuspectChange[],
  source?: string,
): void {
  const { board, log, loop, metrics } = context;
  const { news, table, unanswered, unstored } = board.quarantine;
  for (const { partId, change } of changes) {
    switch (change) {
      case PartChange.Quarantined:
        metrics.count('pimentostall_parts_quarantined_total');
        log(LogLevel.Warn, 'prompt part quarantined', describe(context, partId, source));
        for (const attempt of unanswered) {
          if (attempt.partIds.includes(partId)) {
            attempt.withdraw();
          }
        }
        loop.push(unstored, partId);
        break;
      case PartChange.Released:
        metrics.count('pimentostall_parts_released_total');
        log(LogLevel.Info, 'quarantine of prompt part ended', describe(context, partId, source));
        loop.push(unstored, partId);
        break;
      case PartChange.Updated:
        if (source === undefined) {
          // A crash counts against many parts, each of which every router learns of.
          log(LogLevel.Debug, 'crash record of a prompt part changed', describe(context, partId, source));
        }
        if (table.isQuarantined(partId)) {
          loop.push(unstored, partId);
        }
        break;
    }
    loop.push(news, { kind: SuspectNewsKind.Changed, partId });
  }
}

function describe(
  { board, loop }: GatewayContext,
  partId: string,
  source: string | undefined,
): Readonly<Record<string, unknown>> {
  const [report] = board.quarantine.table.reports(loop.nowMs(), [partId]);
  return {
    partId,
    source: source ?? 'self',
    crashes: report?.crashes,
    clearedAgeMs: report?.clearedAgeMs,
    probation: report?.probation,
  };
}
