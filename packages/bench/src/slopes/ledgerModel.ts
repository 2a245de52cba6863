import { RecordState } from '@pimentostall/core';
import type { JsonValue } from '@pimentostall/core';
import { billKey, budgetKey, recordKey, shareKey } from '../../../core/src/money/keys.ts';
import { RouterHarness } from './routerHarness.ts';
import { organisationId } from './fleetModel.ts';

/** Between the low-water mark, below which a router draws, and the excess that it returns. */
const SHARE_MICROS = 100_000_000;
const WORST_CASE_MICROS = SHARE_MICROS / 6;
const RECORD_MICROS = 4_000;

/** A router that has registered by writing its row. */
export function createRegisteredRouter(): RouterHarness {
  const router = new RouterHarness();
  router.advance(1_000);
  return router;
}

/** Adds budget shares of `count` organisations, as if the router had drawn them. */
export function addShares(router: RouterHarness, count: number): void {
  const { shares, organisations } = router.core.board.money;
  for (let index = 0; index < count; index += 1) {
    const id = organisationId(index);
    shares.set(id, {
      organisationId: id,
      grantedMicros: SHARE_MICROS,
      settledMicros: 0,
      returnedMicros: 0,
      sequence: 1,
      committedMicros: 0,
      pendingReturnMicros: 0,
      demandMicrosPerSecond: 0,
      recentMicros: 0,
      worstCaseMicros: WORST_CASE_MICROS,
      lastUsedAtMs: 0,
      excessSinceMs: undefined,
    });
    organisations.set(id, {
      busy: false,
      reachable: true,
      freeMicros: SHARE_MICROS,
      heldMicros: 0,
      leftMicros: 10 * SHARE_MICROS,
      portion: { ownMicros: 0, totalMicros: 0, lastOwnMicros: 0, lastTotalMicros: undefined, atMs: 0 },
      appliedTopUpIds: new Set(),
      lastSettleAtMs: 0,
      retryAtMs: 0,
    });
  }
}

/** Inserts the budget row of an organisation and the row of the router's share unless they exist. */
function addTableRows(router: RouterHarness, id: string): void {
  const { incarnationId } = router.core.board;
  const put = (key: string, value: JsonValue): void => {
    if (!router.table.has(key)) {
      router.table.set(key, { key, version: 1, value });
    }
  };
  put(budgetKey(id), {
    fundedMicros: 10 * SHARE_MICROS,
    allocatedMicros: SHARE_MICROS,
    settledMicros: 0,
    heldMicros: 0,
    topUpIds: [],
  });
  put(shareKey(id, incarnationId), {
    grantedMicros: SHARE_MICROS,
    settledMicros: 0,
    returnedMicros: 0,
    sequence: 1,
    state: 'active',
  });
}

/** Adds an acknowledged usage record, as a completed response does. */
export function addUsedRecord(router: RouterHarness, organisationIndex: number, requestId: string): void {
  const { board } = router.core;
  const id = organisationId(organisationIndex);
  addTableRows(router, id);
  const record = {
    requestId,
    organisationId: id,
    incarnationId: board.incarnationId,
    state: RecordState.Used,
    amountMicros: RECORD_MICROS,
    upstreamAddress: '127.1.0.31:8400',
  };
  const key = recordKey(record);
  board.money.ownRecords.set(key, record);
  board.money.acknowledgedBy.set(key, new Set(['127.1.0.2:8081', '127.1.0.3:8081']));
  const share = board.money.shares.get(id);
  if (share !== undefined) {
    share.committedMicros += RECORD_MICROS;
  }
}

/** Fills the bill row of a request with entries of other requests in the idempotency window. */
export function addBillEntries(
  router: RouterHarness,
  organisationIndex: number,
  requestId: string,
  count: number,
): void {
  const key = billKey(organisationId(organisationIndex), requestId);
  const settled = Array.from({ length: count }, (_, index) => ({
    requestId: index.toString(16).padStart(32, '0'),
    amountMicros: RECORD_MICROS,
    atMs: router.clock.wallMs,
  }));
  const version = (router.table.get(key)?.version ?? 0) + 1;
  router.table.set(key, { key, version, value: { settled, held: [] } });
}
