import type { UsageRecord } from '@pimentostall/core';
import { EffectKind, EventKind, PeerMessageKind, RecordState } from '@pimentostall/core';
import { recordKey } from '../../../core/src/money/keys.ts';
import { decodeEnvelope } from '../../../shell/src/peers/decodeEnvelope.ts';
import { encodeEnvelope } from '../../../shell/src/peers/encodeEnvelope.ts';
import { createRouterInFleet } from './routerHarness.ts';
import { organisationId, peerSender } from './fleetModel.ts';
import type { SlopeOptions } from './options.ts';
import { selectSizes } from './options.ts';
import { measureCpuMicros, measureRetainedBytes } from './resources.ts';
import type { Series } from './series.ts';
import { measureSizes } from './series.ts';
import { REQUESTS_PER_ROUTER, TARGET } from './target.ts';

const SIZES = [100, 1_000, 10_000];
/** Each request is copied to two peers, so a router holds copies of two requests for each of its own. */
const REQUESTS_PER_MINUTE = Math.round(REQUESTS_PER_ROUTER * 2 * 60);
const OWNER_INDEX = 2;
const MICROS_PER_MILLISECOND = 1_000;

function createRecord(index: number, state: RecordState): UsageRecord {
  return {
    requestId: index.toString(16).padStart(32, '0'),
    organisationId: organisationId(index % TARGET.organisations),
    incarnationId: peerSender(OWNER_INDEX).incarnationId,
    state,
    amountMicros: 4_000,
    upstreamAddress: '127.1.0.31:8400',
  };
}

type Name = 'time' | 'bytes' | 'memory' | 'resolved';

/** Delivers the copies of the reservation and of the usage record of each request, and encodes the acknowledgements. */
function measureHolder(requests: number): Readonly<Record<Name, number>> {
  const router = createRouterInFleet(TARGET.routers);
  const sender = peerSender(OWNER_INDEX);
  let bytes = 0;
  const encodedCopies: Buffer[] = [];
  for (const state of [RecordState.Reserved, RecordState.Used]) {
    for (let index = 0; index < requests; index += 1) {
      encodedCopies.push(
        encodeEnvelope(sender, { kind: PeerMessageKind.RecordCopy, record: createRecord(index, state) }),
      );
    }
  }
  let micros = 0;
  const { bytes: memory } = measureRetainedBytes(() => {
    micros = measureCpuMicros(() => {
      for (const encodedCopy of encodedCopies) {
        const effects = router.step([{ kind: EventKind.PeerReceived, ...decodeEnvelope(encodedCopy) }]);
        for (const effect of effects) {
          bytes += encodedCopy.length;
          bytes +=
            effect.kind === EffectKind.PeerSend ? encodeEnvelope(peerSender(0), effect.message).length : 0;
        }
      }
    });
  });
  if (router.core.board.money.copies.size !== requests) {
    throw new Error(`The holder must keep one copy of every request of ${encodedCopies.length / 2}.`);
  }
  const requestIds = Array.from({ length: requests }, (_, index) =>
    recordKey(createRecord(index, RecordState.Used)),
  );
  const resolved = encodeEnvelope(sender, { kind: PeerMessageKind.RecordResolved, requestIds });
  return { time: micros / MICROS_PER_MILLISECOND, bytes, memory, resolved: resolved.length };
}

/** Cost of the copies at one router that holds them, by the number of requests. */
export function measureCopies(options: SlopeOptions): Series[] {
  const points = measureSizes(selectSizes(options, SIZES), options.repeats, measureHolder);
  const series = (id: string, quantity: string, unit: string, name: Name): Series => ({
    id: `copies.${id}`,
    quantity,
    unit,
    sizeUnit: 'requests (target: one minute)',
    targetSize: REQUESTS_PER_MINUTE,
    points: points(name),
  });
  return [
    series('time', 'two copies and acknowledgements at one holder', 'ms', 'time'),
    series('bytes', 'two copies and acknowledgements, one holder', 'B', 'bytes'),
    series('memory', 'copies held', 'B', 'memory'),
    series('resolvedBytes', 'RecordResolved, to one peer', 'B', 'resolved'),
  ];
}
