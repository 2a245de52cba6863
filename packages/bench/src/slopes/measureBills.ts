import { DEFAULT_CORE_OPTIONS } from '@pimentostall/core';
import { addBillEntries, addShares, addUsedRecord, registeredRouter } from './ledgerModel.ts';
import type { SlopeOptions } from './options.ts';
import { sizesOf } from './options.ts';
import { processorMicros } from './resources.ts';
import type { Series } from './series.ts';
import { measureSizes } from './series.ts';
import { TARGET } from './target.ts';

const SIZES = [10, 100, 1_000, 10_000];
const BUCKETS = 16;
const WINDOW_SECONDS = 7_200;
/** Identities of the idempotency window in one bucket of an organisation with the average rate. */
const ENTRIES_PER_BUCKET = Math.round(
  (TARGET.requestsPerSecond * WINDOW_SECONDS) / TARGET.organisations / BUCKETS,
);
const SETTLEMENTS = 5;
/** Holds one settlement. */
const SETTLE_MS = DEFAULT_CORE_OPTIONS.settleIntervalMs + 1_000;

/** One settlement of one record, whose bucket holds this many identities. */
function measureBucket(entries: number): Readonly<Record<'time' | 'bytes', number>> {
  const router = registeredRouter();
  addShares(router, 1);
  addBillEntries(router, 0, 'request-0', entries);
  let micros = 0;
  router.countsBytes = true;
  const { bytes, commits } = { ...router.counts };
  for (let index = 0; index < SETTLEMENTS; index += 1) {
    addUsedRecord(router, 0, 'request-0');
    router.core.board.money.resolvedAtMs.clear();
    // Byte counting is part of the time: the adapter encodes and parses the same JSON.
    micros += processorMicros(() => router.advance(SETTLE_MS));
    addBillEntries(router, 0, 'request-0', entries);
  }
  const settled = router.counts.commits - commits;
  if (settled !== SETTLEMENTS) {
    throw new Error(`Each record must be settled by one transaction, but ${settled} were made.`);
  }
  return { time: micros / 1_000 / SETTLEMENTS, bytes: (router.counts.bytes - bytes) / SETTLEMENTS };
}

/** The cost of a settlement by the identities in the bill row that it reads and writes. */
export function measureBills(options: SlopeOptions): Series[] {
  const points = measureSizes(sizesOf(options, SIZES), options.repeats, measureBucket);
  const base = { sizeUnit: 'identities in the bill row', targetSize: ENTRIES_PER_BUCKET };
  return [
    { ...base, id: 'bills.time', quantity: 'settlement of one record', unit: 'ms', points: points('time') },
    {
      ...base,
      id: 'bills.bytes',
      quantity: 'table bytes of one settlement',
      unit: 'B',
      points: points('bytes'),
    },
  ];
}
