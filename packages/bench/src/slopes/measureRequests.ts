import type { CoreEvent, Effect } from '@pimentostall/core';
import { CallerRequestKind, EffectKind, EventKind, RouterState } from '@pimentostall/core';
import { applyDocument, createDocument, FIRST_MODEL, organisationKeySha256 } from './configurationModel.ts';
import { RouterHarness } from './routerHarness.ts';
import { addShares } from './ledgerModel.ts';
import type { SlopeOptions } from './options.ts';
import { selectSizes } from './options.ts';
import { cpuMillisecondsPerCall, measureCpuMicros, measureRetainedBytes } from './resources.ts';
import type { Series } from './series.ts';
import { measureSizes } from './series.ts';
import { TARGET, TOKENS_PER_REQUEST } from './target.ts';

const SIZES = [10, 100, 1_000];
const ENGINE_SIZES = [12, 100, TARGET.engines];
const STEP_COUNT = 2_000;
const TOKEN_INTERVAL_SECONDS = 0.03;
/** Open requests of one router at the target rate of tokens and interval between tokens. */
const OPEN_REQUESTS = Math.round((TARGET.tokensPerSecond / TARGET.routers) * TOKEN_INTERVAL_SECONDS);
const REQUEST_COUNT = 100;
const ORGANISATIONS = 31;

function createLiveRouter(engines: number): RouterHarness {
  const router = new RouterHarness();
  router.advance(1_000);
  applyDocument(router, createDocument(ORGANISATIONS, engines));
  addShares(router, ORGANISATIONS);
  router.core.board.routerState = RouterState.Live;
  return router;
}

/** A streamed chat request of one of the organisations, with a prompt of 2,000 characters. */
export function chatRequestEvent(index: number, idempotencyKey?: string): CoreEvent {
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
      keySha256: organisationKeySha256(index % ORGANISATIONS),
      idempotencyKey,
      redirected: false,
      target: '/v1/chat/completions',
    },
  };
}

const openedAttemptIds = (effects: readonly Effect[]): string[] =>
  effects.flatMap((effect) => (effect.kind === EffectKind.UpstreamOpen ? [effect.attemptId] : []));

function openRequests(router: RouterHarness, count: number): string[] {
  const attempts: string[] = [];
  for (let index = 0; index < count; index += 1) {
    attempts.push(...openedAttemptIds(router.step([chatRequestEvent(index)])));
  }
  return attempts;
}

function measureOpenRequests(count: number): Readonly<Record<'chunk' | 'tick' | 'memory', number>> {
  const router = createLiveRouter(12);
  const { bytes: memory, held: attempts } = measureRetainedBytes(() => openRequests(router, count));
  if (attempts.length !== count) {
    throw new Error(`Every request must reach an engine, but ${attempts.length} of ${count} did.`);
  }
  const chunk = cpuMillisecondsPerCall(STEP_COUNT, (call) => {
    const attemptId = attempts[call % count] ?? '';
    const index = Math.floor(call / count);
    router.step([
      { kind: EventKind.UpstreamChunk, attemptId, chunk: { index, text: 'harbour ', finish: undefined } },
    ]);
  });
  const tick = cpuMillisecondsPerCall(STEP_COUNT, () => router.step());
  return { chunk: chunk * 1_000, tick: tick * 1_000, memory };
}

/** A complete request without its transport: arrival, reservation, choice of engine, tokens, usage record, response. */
function measureCompleteRequest(engines: number): Readonly<Record<'request', number>> {
  const router = createLiveRouter(engines);
  const micros = measureCpuMicros(() => {
    for (let index = 0; index < REQUEST_COUNT; index += 1) {
      const [attemptId] = openedAttemptIds(router.step([chatRequestEvent(index)]));
      for (let token = 0; token < TOKENS_PER_REQUEST; token += 1) {
        const last = token === TOKENS_PER_REQUEST - 1;
        const usage = { reason: 'stop', promptTokens: 500, cachedPromptTokens: 0, outputTokens: token + 1 };
        const chunk = { index: token, text: 'harbour ', finish: last ? usage : undefined };
        router.step([{ kind: EventKind.UpstreamChunk, attemptId: attemptId ?? '', chunk }]);
      }
    }
  });
  return { request: micros / 1_000 / REQUEST_COUNT };
}

/** Cost of the data path in the core of one router, by open requests and by engines. */
export function measureRequests(options: SlopeOptions): Series[] {
  const open = measureSizes(selectSizes(options, SIZES), options.repeats, measureOpenRequests);
  const whole = measureSizes(selectSizes(options, ENGINE_SIZES), options.repeats, measureCompleteRequest);
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
