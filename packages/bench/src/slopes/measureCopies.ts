import type { UsageRecord } from '@pimentostall/core';
import { EffectKind, EventKind, PeerMessageKind, RecordState } from '@pimentostall/core';
import { recordKey } from '../../../core/src/money/keys.ts';
import { decodeEnvelope } from '../../../shell/src/peers/decodeEnvelope.ts';
import { encodeEnvelope } from '../../../shell/src/peers/encodeEnvelope.ts';
import { routerInFleet } from './drivenRouter.ts';
import { organisationId, senderOf } from './fleetModel.ts';
import type { SlopeOptions } from './options.ts';
import { sizesOf } from './options.ts';
import { processorMicros, retainedBytes } from './resources.ts';
import type { Series } from './series.ts';
import { measureSizes } from './series.ts';
import { REQUESTS_PER_ROUTER, TARGET } from './target.ts';

const SIZES = [100, 1_000, 10_000];
/** Each request is copied to two holders, so every router holds the copies of two requests for each of its own. */
const REQUESTS_PER_MINUTE = Math.round(REQUESTS_PER_ROUTER * 2 * 60);
const OWNER = 2;
const MICROS_PER_MILLISECOND = 1_000;

function recordOf(index: number, state: RecordState): UsageRecord {
  return {
    requestId: index.toString(16).padStart(32, '0'),
    organisationId: organisationId(index % TARGET.organisations),
    incarnationId: senderOf(OWNER).incarnationId,
    state,
    amountMicros: 4_000,
    upstreamAddress: '127.1.0.31:8400',
  };
}

type Name = 'time' | 'bytes' | 'memory' | 'resolved';

/** A holder takes the copy of the reservation and of the usage of each request, and acknowledges both. */
function measureHolder(requests: number): Readonly<Record<Name, number>> {
  const router = routerInFleet(TARGET.routers);
  const sender = senderOf(OWNER);
  let bytes = 0;
  const wires: Buffer[] = [];
  for (const state of [RecordState.Reserved, RecordState.Used]) {
    for (let index = 0; index < requests; index += 1) {
      wires.push(
        encodeEnvelope(sender, { kind: PeerMessageKind.RecordCopy, record: recordOf(index, state) }),
      );
    }
  }
  let micros = 0;
  const { bytes: memory } = retainedBytes(() => {
    micros = processorMicros(() => {
      for (const wire of wires) {
        const effects = router.step([{ kind: EventKind.PeerReceived, ...decodeEnvelope(wire) }]);
        for (const effect of effects) {
          bytes += wire.length;
          bytes +=
            effect.kind === EffectKind.PeerSend ? encodeEnvelope(senderOf(0), effect.message).length : 0;
        }
      }
    });
  });
  if (router.core.board.money.copies.size !== requests) {
    throw new Error(`The holder must keep a copy of every request of ${wires.length / 2}.`);
  }
  const requestIds = Array.from({ length: requests }, (_, index) =>
    recordKey(recordOf(index, RecordState.Used)),
  );
  const resolved = encodeEnvelope(sender, { kind: PeerMessageKind.RecordResolved, requestIds });
  return { time: micros / MICROS_PER_MILLISECOND, bytes, memory, resolved: resolved.length };
}

/** What copies cost one holder, by requests. */
export function measureCopies(options: SlopeOptions): Series[] {
  const points = measureSizes(sizesOf(options, SIZES), options.repeats, measureHolder);
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
