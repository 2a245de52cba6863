import { CallerRequestKind, EffectKind, EventKind } from '@pimentostall/core';
import { liveRegionPeers } from '../../../core/src/membership/livePeers.ts';
import type { CoreContext } from '../../../core/src/context.ts';
import { configure, documentOf, keyOf } from './configurationModel.ts';
import { routerInFleet } from './drivenRouter.ts';
import type { SlopeOptions } from './options.ts';
import { sizesOf } from './options.ts';
import { millisecondsPerCall } from './resources.ts';
import type { Series } from './series.ts';
import { measureSizes } from './series.ts';
import { TARGET } from './target.ts';

const SIZES = [8, 32, 128, TARGET.routers];
const CALLS = 500;
const ORGANISATIONS = 100;

function measureAnswers(routers: number): Readonly<Record<'entry' | 'live', number>> {
  const router = routerInFleet(routers);
  configure(router, documentOf(ORGANISATIONS, 0));
  const entry = millisecondsPerCall(CALLS, (call) => {
    const effects = router.step([
      {
        kind: EventKind.CallerArrived,
        exchangeId: `exchange-${call}`,
        request: { kind: CallerRequestKind.Entry },
        metadata: {
          keySha256: keyOf(call % ORGANISATIONS),
          idempotencyKey: undefined,
          redirected: false,
          target: '/v1/entry',
        },
      },
    ]);
    if (!effects.some((effect) => effect.kind === EffectKind.CallerEnd)) {
      throw new Error('Every entry question must be answered.');
    }
  });
  // The list of live peers is made for every copy, announcement and entry answer.
  const { context } = router.core as unknown as { context: CoreContext };
  const live = millisecondsPerCall(CALLS, () => liveRegionPeers(context));
  return { entry: entry * 1_000, live: live * 1_000 };
}

/** Entry answers and the list of live peers, by routers. */
export function measureEntry(options: SlopeOptions): Series[] {
  const points = measureSizes(sizesOf(options, SIZES), options.repeats, measureAnswers);
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
