import { CallerRequestKind, EffectKind, EventKind } from '@pimentostall/core';
import { liveRegionPeers } from '../../../core/src/membership/livePeers.ts';
import type { CoreContext } from '../../../core/src/context.ts';
import { applyDocument, createDocument, organisationKeySha256 } from './configurationModel.ts';
import { createRouterInFleet } from './routerHarness.ts';
import type { SlopeOptions } from './options.ts';
import { selectSizes } from './options.ts';
import { cpuMillisecondsPerCall } from './resources.ts';
import type { Series } from './series.ts';
import { measureSizes } from './series.ts';
import { TARGET } from './target.ts';

const SIZES = [8, 32, 128, TARGET.routers];
const CALL_COUNT = 500;
const ORGANISATIONS = 100;

function measureEntryAnswers(routers: number): Readonly<Record<'entry' | 'live', number>> {
  const router = createRouterInFleet(routers);
  applyDocument(router, createDocument(ORGANISATIONS, 0));
  const entry = cpuMillisecondsPerCall(CALL_COUNT, (call) => {
    const effects = router.step([
      {
        kind: EventKind.CallerArrived,
        exchangeId: `exchange-${call}`,
        request: { kind: CallerRequestKind.Entry },
        metadata: {
          keySha256: organisationKeySha256(call % ORGANISATIONS),
          idempotencyKey: undefined,
          redirected: false,
          target: '/v1/entry',
        },
      },
    ]);
    if (!effects.some((effect) => effect.kind === EffectKind.CallerEnd)) {
      throw new Error('An entry request was not answered.');
    }
  });
  // The router builds the list of live peers for every copy, announcement and entry answer.
  const { context } = router.core as unknown as { context: CoreContext };
  const live = cpuMillisecondsPerCall(CALL_COUNT, () => liveRegionPeers(context));
  return { entry: entry * 1_000, live: live * 1_000 };
}

/** Cost of entry answers and of the list of live peers, by the number of routers. */
export function measureEntry(options: SlopeOptions): Series[] {
  const points = measureSizes(selectSizes(options, SIZES), options.repeats, measureEntryAnswers);
  const base = { sizeUnit: 'routers', targetSize: TARGET.routers, unit: 'us' };
  return [
    { ...base, id: 'entry.answer', quantity: 'one entry answer, core only', points: points('entry') },
    {
      ...base,
      id: 'membership.livePeers',
      quantity: 'one list of live region peers',
      points: points('live'),
    },
  ];
}
