import type { Effect } from '@pimentostall/core';
import { DEFAULT_CORE_OPTIONS, EffectKind, EventKind, PeerMessageKind } from '@pimentostall/core';
import { encodeEnvelope } from '../../../shell/src/peers/encodeEnvelope.ts';
import { applyDocument, createDocument } from './configurationModel.ts';
import type { RouterHarness } from './routerHarness.ts';
import { createRouterInFleet } from './routerHarness.ts';
import { peerSender } from './fleetModel.ts';
import { addShares, addUsedRecord, createRegisteredRouter } from './ledgerModel.ts';
import { chatRequestEvent } from './measureRequests.ts';
import type { SlopeOptions } from './options.ts';
import { selectSizes } from './options.ts';
import { cpuMillisecondsPerCall } from './resources.ts';
import type { Series } from './series.ts';
import { measureSizes } from './series.ts';
import { REQUESTS_PER_ROUTER, TARGET } from './target.ts';

const SIZES = [8, 32, 128, TARGET.routers];
const RECORD_SIZES = [100, 1_000, 10_000];
const ORGANISATIONS = 31;
const QUERIES = 500;
const REQUEST_SECONDS = 12;
const SETTLE_SECONDS = DEFAULT_CORE_OPTIONS.settleIntervalMs / 1_000;
/** Records of a router between reservation and settlement, and the copies that it holds for two peers. */
const RECORDS_HELD = Math.round(REQUESTS_PER_ROUTER * (REQUEST_SECONDS + SETTLE_SECONDS) * 3);

const isQuery = (effect: Effect): effect is Extract<Effect, { kind: EffectKind.PeerSend }> =>
  effect.kind === EffectKind.PeerSend && effect.message.kind === PeerMessageKind.RecordQuery;

/** Queries to peers, and their replies, for one request with an Idempotency-Key. */
function measureQueryMessages(routers: number): Readonly<Record<'messages' | 'bytes', number>> {
  const router = createRouterInFleet(routers);
  applyDocument(router, createDocument(ORGANISATIONS, 1));
  const effects = router.step([chatRequestEvent(0, 'key-of-the-caller')]);
  const queries = effects.filter(isQuery);
  let bytes = 0;
  for (const { message } of queries) {
    const queryId = message.kind === PeerMessageKind.RecordQuery ? message.queryId : '';
    const reply = { kind: PeerMessageKind.RecordQueryReply, queryId, records: [], running: false } as const;
    bytes += encodeEnvelope(peerSender(0), message).length + encodeEnvelope(peerSender(2), reply).length;
  }
  return { messages: 2 * queries.length, bytes };
}

function createHolder(records: number): RouterHarness {
  const router = createRegisteredRouter();
  addShares(router, 1);
  for (let index = 0; index < records; index += 1) {
    addUsedRecord(router, 0, `request-${index}`);
  }
  return router;
}

/** Reply of a peer whose records do not match the queried request. */
function measureQueryReply(records: number): Readonly<Record<'time', number>> {
  const router = createHolder(records);
  const sender = peerSender(2);
  const time = cpuMillisecondsPerCall(QUERIES, (call) => {
    const message = { kind: PeerMessageKind.RecordQuery, queryId: `${call}`, requestId: 'unknown' } as const;
    router.step([{ kind: EventKind.PeerReceived, sender, message }]);
  });
  return { time: time * 1_000 };
}

/** Cost of the queries to peers about a request with an Idempotency-Key. */
export function measureQueries(options: SlopeOptions): Series[] {
  const asked = measureSizes(selectSizes(options, SIZES), 1, measureQueryMessages);
  const answered = measureSizes(selectSizes(options, RECORD_SIZES), options.repeats, measureQueryReply);
  const byRouters = { sizeUnit: 'routers', targetSize: TARGET.routers };
  return [
    {
      ...byRouters,
      id: 'queries.messages',
      quantity: 'queries and replies of one request with a key',
      unit: '1',
      points: asked('messages'),
    },
    {
      ...byRouters,
      id: 'queries.bytes',
      quantity: 'bytes of these',
      unit: 'B',
      points: asked('bytes'),
    },
    {
      id: 'queries.time',
      quantity: 'answer to one query, without codec',
      unit: 'us',
      sizeUnit: 'records held',
      targetSize: RECORDS_HELD,
      points: answered('time'),
    },
  ];
}
