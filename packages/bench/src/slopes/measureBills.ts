import { DEFAULT_CORE_OPTIONS } from '@pimentostall/core';
import { addBillEntries, addShares, addUsedRecord, createRegisteredRouter } from './ledgerModel.ts';
import type { SlopeOptions } from './options.ts';
import { selectSizes } from './options.ts';
import { measureCpuMicros } from './resources.ts';
import type { Series } from './series.ts';
import { measureSizes } from './series.ts';
import { TARGET } from './target.ts';

const SIZES = [10, 100, 1_000, 10_000];
const BUCKETS_PER_ORGANISATION = 16;
const WINDOW_SECONDS = 7_200;
/** Requests of the idempotency window in one bucket, for an organisation with the average request rate. */
const ENTRIES_PER_BUCKET = Math.round(
  (TARGET.requestsPerSecond * WINDOW_SECONDS) / TARGET.organisations / BUCKETS_PER_ORGANISATION,
);
const SETTLEMENTS = 5;
/** Long enough for one settlement. */
const SETTLEMENT_DURATION_MS = DEFAULT_CORE_OPTIONS.settleIntervalMs + 1_000;

/** Settles one record at a time, with a bill row of `entries` other requests. */
function measureBillRow(entries: number): Readonly<Record<'time' | 'bytes', number>> {
  const router = createRegisteredRouter();
  addShares(router, 1);
  addBillEntries(router, 0, 'request-0', entries);
  let micros = 0;
  router.byteCountEnabled = true;
  const { bytes, commits } = { ...router.counts };
  for (let index = 0; index < SETTLEMENTS; index += 1) {
    addUsedRecord(router, 0, 'request-0');
    router.core.board.money.resolvedAtMs.clear();
    // The time includes the byte counting, which stands for the JSON encoding and parsing of the adapter.
    micros += measureCpuMicros(() => router.advance(SETTLEMENT_DURATION_MS));
    addBillEntries(router, 0, 'request-0', entries);
  }
  const settled = router.counts.commits - commits;
  if (settled !== SETTLEMENTS) {
    throw new Error(`Each record must be settled by one transaction, but ${settled} were made.`);
  }
  return { time: micros / 1_000 / SETTLEMENTS, bytes: (router.counts.bytes - bytes) / SETTLEMENTS };
}

/** Cost of a settlement by the number of requests in the bill row that it reads and writes. */
export function measureBills(options: SlopeOptions): Series[] {
  const points = measureSizes(selectSizes(options, SIZES), options.repeats, measureBillRow);
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
