import type { CoreEvent, Effect } from '@pimentostall/core';
import { CallerRequestKind, EffectKind, EventKind, RouterState } from '@pimentostall/core';
import { configure, documentOf, FIRST_MODEL, keyOf } from './configurationModel.ts';
import { DrivenRouter } from './drivenRouter.ts';
import { addShares } from './ledgerModel.ts';
import type { SlopeOptions } from './options.ts';
import { sizesOf } from './options.ts';
import { millisecondsPerCall, processorMicros, retainedBytes } from './resources.ts';
import type { Series } from './series.ts';
import { measureSizes } from './series.ts';
import { TARGET, TOKENS_PER_REQUEST } from './target.ts';

const SIZES = [10, 100, 1_000];
const ENGINE_SIZES = [12, 100, TARGET.engines];
const STEPS = 2_000;
const TOKEN_INTERVAL_SECONDS = 0.03;
/** Open requests of one router, if tokens follow each other at the target's interval. */
const OPEN_REQUESTS = Math.round((TARGET.tokensPerSecond / TARGET.routers) * TOKEN_INTERVAL_SECONDS);
const ARRIVALS = 100;
const ORGANISATIONS = 31;

function busyRouter(engines: number): DrivenRouter {
  const router = new DrivenRouter();
  router.advance(1_000);
  configure(router, documentOf(ORGANISATIONS, engines));
  addShares(router, ORGANISATIONS);
  router.core.board.routerState = RouterState.Live;
  return router;
}

/** A streamed chat request of one of the organisations, with a prompt of 2,000 characters. */
export function chatArrival(index: number, idempotencyKey?: string): CoreEvent {
  return {
    kind: EventKind.CallerArrived,
    exchangeId: `exchange-${index}`,
    request: {
      kind: CallerRequestKind.ChatCompletion,
      model: FIRST_MODEL,
      messages: [
        { role: 'user', content: `${index} `.padEnd(2_000, 'Describe a photograph of a harbour. ') },
      ],
      maxOutputTokens: 512,
      stream: true,
    },
    metadata: {
      keySha256: keyOf(index % ORGANISATIONS),
      idempotencyKey,
      redirected: false,
      target: '/v1/chat/completions',
    },
  };
}

const attemptsOf = (effects: readonly Effect[]): string[] =>
  effects.flatMap((effect) => (effect.kind === EffectKind.UpstreamOpen ? [effect.attemptId] : []));

function openRequests(router: DrivenRouter, count: number): string[] {
  const attempts: string[] = [];
  for (let index = 0; index < count; index += 1) {
    attempts.push(...attemptsOf(router.step([chatArrival(index)])));
  }
  return attempts;
}

function measureOpen(count: number): Readonly<Record<'chunk' | 'tick' | 'memory', number>> {
  const router = busyRouter(12);
  const { bytes: memory, held: attempts } = retainedBytes(() => openRequests(router, count));
  if (attempts.length !== count) {
    throw new Error(`Every request must reach an engine, but ${attempts.length} of ${count} did.`);
  }
  const chunk = millisecondsPerCall(STEPS, (call) => {
    const attemptId = attempts[call % count] ?? '';
    const index = Math.floor(call / count);
    router.step([
      { kind: EventKind.UpstreamChunk, attemptId, chunk: { index, text: 'harbour ', finish: undefined } },
    ]);
  });
  const tick = millisecondsPerCall(STEPS, () => router.step());
  return { chunk: chunk * 1_000, tick: tick * 1_000, memory };
}

/** A whole request without its transport: arrival, reservation, choice of engine, tokens, record and answer. */
function measureWhole(engines: number): Readonly<Record<'request', number>> {
  const router = busyRouter(engines);
  const micros = processorMicros(() => {
    for (let index = 0; index < ARRIVALS; index += 1) {
      const [attemptId] = attemptsOf(router.step([chatArrival(index)]));
      for (let token = 0; token < TOKENS_PER_REQUEST; token += 1) {
        const last = token === TOKENS_PER_REQUEST - 1;
        const usage = { reason: 'stop', promptTokens: 500, cachedPromptTokens: 0, outputTokens: token + 1 };
        const chunk = { index: token, text: 'harbour ', finish: last ? usage : undefined };
        router.step([{ kind: EventKind.UpstreamChunk, attemptId: attemptId ?? '', chunk }]);
      }
    }
  });
  return { request: micros / 1_000 / ARRIVALS };
}

/** The data path of one router in the core, by open requests and by engines. */
export function measureRequests(options: SlopeOptions): Series[] {
  const open = measureSizes(sizesOf(options, SIZES), options.repeats, measureOpen);
  const whole = measureSizes(sizesOf(options, ENGINE_SIZES), options.repeats, measureWhole);
  const base = { sizeUnit: 'open requests', targetSize: OPEN_REQUESTS };
  return [
    {
      ...base,
      id: 'requests.chunk',
      quantity: 'step that relays one token',
      unit: 'us',
      points: open('chunk'),
    },
    { ...base, id: 'requests.tick', quantity: 'step without events', unit: 'us', points: open('tick') },
    { ...base, id: 'requests.memory', quantity: 'open requests', unit: 'B', points: open('memory') },
    {
      id: 'requests.whole',
      quantity: `request of ${TOKENS_PER_REQUEST} tokens, core only`,
      unit: 'ms',
      sizeUnit: 'engines',
      targetSize: TARGET.engines,
      points: whole('request'),
    },
  ];
}
