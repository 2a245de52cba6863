import type { Task } from '@pimentostall/core';
import { sleepUntil } from '@pimentostall/core';
import type { GatewayContext } from '../context.ts';
import { LogLevel } from '../observability/log.ts';
import type { ReleaseOptions } from './release.ts';

/** The row with which a router proves how long it has been able to spend beyond the limits of its shares. */
export interface LivenessRecord extends ReleaseOptions {
  readonly incarnationId: string;
  /** Time of the write by the store's clock, or earlier. */
  readonly writtenAtStoreMs: number;
}

/** How the previous life of this router ended, as far as the store shows. */
export interface PreviousIncarnation {
  readonly record: LivenessRecord | undefined;
  /** The store's time when this life read the record: the previous one had ended. */
  readonly endedBeforeStoreMs: number;
}

export interface LivenessStore {
  /** Undefined if the store did not answer. */
  read(): Promise<PreviousIncarnation | undefined>;
  /** Returns true once the store holds the record; false if it may or may not. */
  write(record: LivenessRecord): Promise<boolean>;
  /** The store's time now, or earlier; undefined before its first answer. */
  storeTimeMs(): number | undefined;
}

/** Reads the record of the previous life; must end before the first account is opened. */
export function* readPreviousIncarnation(context: GatewayContext, store: LivenessStore): Task<void> {
  for (;;) {
    const previousIncarnation = yield* context.loop.settled(store.read());
    if (previousIncarnation !== undefined) {
      context.board.previousIncarnation = previousIncarnation;
      const { record, endedBeforeStoreMs } = previousIncarnation;
      context.log(LogLevel.Info, 'previous life read', {
        previousIncarnation: record?.incarnationId,
        silentMs: record === undefined ? undefined : Math.round(endedBeforeStoreMs - record.writtenAtStoreMs),
      });
      return;
    }
    yield* sleepUntil(context.loop.nowMs() + context.options.storeBackoffMs);
  }
}

/**
 * Writes the liveness record. `newestLivenessRecordAtMs` on the board is the time of the newest record that the store
 * may hold, so that shares never open sooner than the next life assumes. A new record is only sent while all spending
 * keeps to the limits that the share rows hold; a try without success is repeated with the same time.
 */
export function* maintainLivenessRecord(context: GatewayContext, store: LivenessStore): Task<void> {
  const { board, loop, options, self } = context;
  let stampMs: number | undefined;
  while (!board.stopped) {
    if (stampMs === undefined && accountsBeyondLimit(context).length === 0) {
      stampMs = store.storeTimeMs();
      board.newestLivenessRecordAtMs = loop.nowMs();
    }
    if (stampMs !== undefined) {
      const held = yield* loop.settled(
        store.write({ incarnationId: self.incarnationId, writtenAtStoreMs: stampMs, ...options.release }),
      );
      stampMs = held ? undefined : stampMs;
    }
    const beyond = accountsBeyondLimit(context);
    if (stampMs === undefined && beyond.length > 0) {
      context.log(LogLevel.Debug, 'liveness record waits for shares to be settled', {
        organisations: beyond,
      });
    }
    const pauseMs =
      stampMs === undefined && beyond.length > 0 ? options.livenessRetryMs : options.livenessPeriodMs;
    yield* sleepUntil(loop.nowMs() + pauseMs);
  }
}

function accountsBeyondLimit({ board }: GatewayContext): string[] {
  return [...board.accounts.values()]
    .filter(({ ledger }) => !ledger.isWithinLimit)
    .map(({ organisationName }) => organisationName);
}
