import { awaitReply } from '../context.ts';
import type { CoreContext } from '../context.ts';
import type { Task } from '../scheduler/task.ts';
import type { Effect } from '../types/effects.ts';
import { EffectKind } from '../types/effects.ts';
import type { TableOutcome, TableRow, TableTransaction } from '../types/table.ts';
import { TableOutcomeKind } from '../types/table.ts';

function* callTable(context: CoreContext, callId: string, effect: Effect): Task<TableOutcome> {
  context.emit(effect);
  const deadlineMs = context.clock.monotonicMs + context.options.tableTimeoutMs;
  const reply = yield* awaitReply(context.board.replyChannels.tableCalls, callId, deadlineMs);
  return reply?.outcome ?? { kind: TableOutcomeKind.Unknown };
}

function rowsByKey(outcome: TableOutcome): ReadonlyMap<string, TableRow> | undefined {
  if (outcome.kind !== TableOutcomeKind.Rows) {
    return undefined;
  }
  return new Map(outcome.rows.map((row) => [row.key, row]));
}

/** Reads rows by key. Returns undefined if the store does not answer in time. */
export function* readRows(
  context: CoreContext,
  keys: readonly string[],
): Task<ReadonlyMap<string, TableRow> | undefined> {
  const callId = context.newId();
  return rowsByKey(yield* callTable(context, callId, { kind: EffectKind.TableRead, callId, keys }));
}

/** Reads all rows whose key has the prefix. Returns undefined if the store does not answer in time. */
export function* scanRows(
  context: CoreContext,
  keyPrefix: string,
): Task<ReadonlyMap<string, TableRow> | undefined> {
  const callId = context.newId();
  return rowsByKey(yield* callTable(context, callId, { kind: EffectKind.TableScan, callId, keyPrefix }));
}

/**
 * Commits a transaction. `Unknown` means that it may or may not have taken effect; the caller must be able to
 * detect whether it did before it retries.
 */
export function* commitTransaction(context: CoreContext, transaction: TableTransaction): Task<TableOutcome> {
  const callId = context.newId();
  return yield* callTable(context, callId, { kind: EffectKind.TableCommit, callId, transaction });
}
