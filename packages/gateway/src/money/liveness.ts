import type { Task } from '@pimentostall/core';
import { sleepUntil } from '@pimentostall/core';
import type { GatewayContext } from '../context.ts';
import { LogLevel } from '../observability/log.ts';
import type { ReleaseOptions } from './release.ts';

/** Row that bounds how long a router incarnation has been able to spend beyond the limits of its shares. */
export interface LivenessRecord extends ReleaseOptions {
  readonly incarnationId: string;
  /** Lower bound of the write time by the store's clock. */
  readonly writtenAtStoreMs: number;
}

/** What the store shows about the end of this router's previous incarnation. */
export interface PreviousIncarnation {
  readonly record: LivenessRecord | undefined;
  /** Store time at which this incarnation read the record; the previous one had ended by then. */
  readonly readAtStoreMs: number;
}

export interface LivenessStore {
  /** Returns undefined if the store did not reply. */
  read(): Promise<PreviousIncarnation | undefined>;
  /** Returns true if the store confirmed the write; false if the outcome is unknown. */
  write(record: LivenessRecord): Promise<boolean>;
  /** Lower bound of the current store time; undefined before the store's first reply. */
  storeTimeMs(): number | undefined;
}

/** Reads the liveness record of the previous incarnation. Must complete before the first account is opened. */
export function* readPreviousIncarnation(context: GatewayContext, store: LivenessStore): Task<void> {
  for (;;) {
    const previousIncarnation = yield* context.loop.settled(store.read());
    if (previousIncarnation !== undefined) {
      context.board.previousIncarnation = previousIncarnation;
      const { record, readAtStoreMs } = previousIncarnation;
      context.log(LogLevel.Info, 'liveness record of the previous incarnation looked up', {
        previousIncarnation: record?.incarnationId,
        silentMs: record === undefined ? undefined : Math.round(readAtStoreMs - record.writtenAtStoreMs),
      });
      return;
    }
    yield* sleepUntil(context.loop.nowMs() + context.options.storeBackoffMs);
  }
}

/**
 * Writes the liveness record periodically. `newestLivenessRecordAtMs` on the blackboard is the time of the newest
 * record that the store may hold, so tokens are never released earlier than the next incarnation assumes. A record
 * with a new timestamp is only sent while spending in all accounts is within the limits stored in the share rows. A
 * write without confirmation is retried with the same timestamp.
 *
 * A router whose shares hold no tokens beyond their limits sends none: the next incarnation returns no tokens of such
 * shares, with or without a record. In a large fleet most routers are in this state.
 */
export function* maintainLivenessRecord(context: GatewayContext, store: LivenessStore): Task<void> {
  const { board, loop, options, self } = context;
  let timestampMs: number | undefined;
  while (!board.stopped) {
    const hasReleasableTokens = [...board.accounts.values()].some(
      ({ ledger }) => ledger.hasTokensBeyondLimit,
    );
    if (!hasReleasableTokens && timestampMs === undefined) {
      yield* sleepUntil(loop.nearestTickMs(options.livenessRetryMs));
      continue;
    }
    if (timestampMs === undefined && accountsOverLimit(context).length === 0) {
      timestampMs = store.storeTimeMs();
      board.newestLivenessRecordAtMs = loop.nowMs();
    }
    if (timestampMs !== undefined) {
      const confirmed = yield* loop.settled(
        store.write({ incarnationId: self.incarnationId, writtenAtStoreMs: timestampMs, ...options.release }),
      );
      timestampMs = confirmed ? undefined : timestampMs;
    }
    const overLimit = accountsOverLimit(context);
    if (timestampMs === undefined && overLimit.length > 0) {
      context.log(LogLevel.Debug, 'liveness record postponed; spending is above the stored share limits', {
        organisations: overLimit,
      });
    }
    const pauseMs =
      timestampMs === undefined && overLimit.length > 0 ? options.livenessRetryMs : options.livenessPeriodMs;
    yield* sleepUntil(loop.nearestTickMs(pauseMs));
  }
}

function accountsOverLimit({ board }: GatewayContext): string[] {
  return [...board.accounts.values()]
    .filter(({ ledger }) => !ledger.isWithinLimit)
    .map(({ organisationName }) => organisationName);
}
