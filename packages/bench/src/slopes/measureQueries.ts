import type { Effect } from '@pimentostall/core';
import { DEFAULT_CORE_OPTIONS, EffectKind, EventKind, PeerMessageKind } from '@pimentostall/core';
import { encodeEnvelope } from '../../../shell/src/peers/encodeEnvelope.ts';
import { configure, documentOf } from './configurationModel.ts';
import type { DrivenRouter } from './drivenRouter.ts';
import { routerInFleet } from './drivenRouter.ts';
import { senderOf } from './fleetModel.ts';
import { addShares, addUsedRecord, registeredRouter } from './ledgerModel.ts';
import { chatArrival } from './measureRequests.ts';
import type { SlopeOptions } from './options.ts';
import { sizesOf } from './options.ts';
import { millisecondsPerCall } from './resources.ts';
import type { Series } from './series.ts';
import { measureSizes } from './series.ts';
import { REQUESTS_PER_ROUTER, TARGET } from './target.ts';

const SIZES = [8, 32, 128, TARGET.routers];
const RECORD_SIZES = [100, 1_000, 10_000];
const ORGANISATIONS = 31;
const QUERIES = 500;
const REQUEST_SECONDS = 12;
const SETTLE_SECONDS = DEFAULT_CORE_OPTIONS.settleIntervalMs / 1_000;
/** Own records from the reservation to the settlement, and as many at each of two holders. */
const RECORDS_HELD = Math.round(REQUESTS_PER_ROUTER * (REQUEST_SECONDS + SETTLE_SECONDS) * 3);

const isQuery = (effect: Effect): effect is Extract<Effect, { kind: EffectKind.PeerSend }> =>
  effect.kind === EffectKind.PeerSend && effect.message.kind === PeerMessageKind.RecordQuery;

/** What one request with an Idempotency-Key asks of the peers, and what they answer. */
function measureAsked(routers: number): Readonly<Record<'messages' | 'bytes', number>> {
  const router = routerInFleet(routers);
  configure(router, documentOf(ORGANISATIONS, 1));
  const effects = router.step([chatArrival(0, 'key-of-the-caller')]);
  const queries = effects.filter(isQuery);
  let bytes = 0;
  for (const { message } of queries) {
    const queryId = message.kind === PeerMessageKind.RecordQuery ? message.queryId : '';
    const reply = { kind: PeerMessageKind.RecordQueryReply, queryId, records: [], running: false } as const;
    bytes += encodeEnvelope(senderOf(0), message).length + encodeEnvelope(senderOf(2), reply).length;
  }
  return { messages: 2 * queries.length, bytes };
}

function holderOf(records: number): DrivenRouter {
  const router = registeredRouter();
  addShares(router, 1);
  for (let index = 0; index < records; index += 1) {
    addUsedRecord(router, 0, `request-${index}`);
  }
  return router;
}

/** The answer of a peer that holds this many records, none of which is asked for. */
function measureAnswered(records: number): Readonly<Record<'time', number>> {
  const router = holderOf(records);
  const sender = senderOf(2);
  const time = millisecondsPerCall(QUERIES, (call) => {
    const message = { kind: PeerMessageKind.RecordQuery, queryId: `${call}`, requestId: 'unknown' } as const;
    router.step([{ kind: EventKind.PeerReceived, sender, message }]);
  });
  return { time: time * 1_000 };
}

/** Questions to peers about a request identity that the caller chose. */
export function measureQueries(options: SlopeOptions): Series[] {
  const asked = measureSizes(sizesOf(options, SIZES), 1, measureAsked);
  const answered = measureSizes(sizesOf(options, RECORD_SIZES), options.repeats, measureAnswered);
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
