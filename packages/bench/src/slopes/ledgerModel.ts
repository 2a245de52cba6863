import { RecordState } from '@pimentostall/core';
import type { JsonValue } from '@pimentostall/core';
import { billKey, budgetKey, recordKey, shareKey } from '../../../core/src/money/keys.ts';
import { DrivenRouter } from './drivenRouter.ts';
import { organisationId } from './fleetModel.ts';

/** Keeps a share above its low-water mark and below the excess that is returned. */
const SHARE_MICROS = 100_000_000;
const WORST_CASE_MICROS = SHARE_MICROS / 6;
const RECORD_MICROS = 4_000;

/** A router that has written its row. */
export function registeredRouter(): DrivenRouter {
  const router = new DrivenRouter();
  router.advance(1_000);
  return router;
}

/** Gives the router shares of this many organisations, as if it had drawn them. */
export function addShares(router: DrivenRouter, count: number): void {
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

/** Rows of an organisation's budget and of the router's share, once each. */
function addRows(router: DrivenRouter, id: string): void {
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

/** Adds a used record, as the end of an answer does. */
export function addUsedRecord(router: DrivenRouter, organisationIndex: number, requestId: string): void {
  const { board } = router.core;
  const id = organisationId(organisationIndex);
  addRows(router, id);
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

/** Fills the bill row of a request identity with other identities of the idempotency window. */
export function addBillEntries(
  router: DrivenRouter,
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
