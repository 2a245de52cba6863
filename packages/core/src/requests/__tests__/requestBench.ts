import { err, ok } from 'neverthrow';
import type { ActiveConfiguration } from '../../configuration/types.ts';
import type { RecordLookupResult } from '../../money/reservations.ts';
import type { ReserveFailure } from '../../money/reserve.ts';
import { seededRandom } from '../../random.ts';
import { RouterCore } from '../../routerCore.ts';
import { sleepUntil } from '../../scheduler/task.ts';
import type { ConfigurationDocument } from '../../types/configuration.ts';
import { SectionName, ServiceKind } from '../../types/configuration.ts';
import type { Effect } from '../../types/effects.ts';
import { EffectKind } from '../../types/effects.ts';
import type { CoreEvent } from '../../types/events.ts';
import { EventKind } from '../../types/events.ts';
import { DEFAULT_CORE_OPTIONS } from '../../types/options.ts';
import { RouterState } from '../../types/messages.ts';
import type { CallerMetadata, CallerRequest, EngineFinish } from '../../types/requests.ts';
import { CallerRequestKind } from '../../types/requests.ts';
import type { TableOutcome } from '../../types/table.ts';
import type { Problem } from '../../types/verdict.ts';
import type { MoneyFunctions } from '../types.ts';

export const KEY_SHA256 = 'a'.repeat(64);
export const OTHER_KEY_SHA256 = 'b'.repeat(64);
export const ENGINES = ['127.1.0.31:8400', '127.1.0.32:8400'];

const document: ConfigurationDocument = {
  organisations: [
    { organisationId: 'school', keySha256: [KEY_SHA256], entryWeight: 1 },
    { organisationId: 'club', keySha256: [OTHER_KEY_SHA256], entryWeight: 1 },
  ],
  budgets: [],
  services: [
    {
      kind: ServiceKind.Plain,
      serviceId: 'orders',
      addresses: ['127.1.0.50:8500', '127.1.0.51:8500'],
      honoursKey: false,
      operations: [
        { method: 'POST', pathPrefix: '/orders', idempotent: false, classId: 'orders', priceMicros: 2000 },
        { method: 'GET', pathPrefix: '/stock', idempotent: true, classId: 'orders', priceMicros: 100 },
      ],
    },
  ],
  rules: [
    {
      model: 'small',
      classId: 'chat',
      promptMicrosPerToken: 2,
      outputMicrosPerToken: 10,
      maxOutputTokens: 50,
    },
    {
      model: 'batch',
      classId: 'batch',
      promptMicrosPerToken: 2,
      outputMicrosPerToken: 10,
      maxOutputTokens: 50,
    },
  ],
  classes: [
    { classId: 'chat', priority: 10, batch: false, maxQueued: 2, deadlineMs: 30_000 },
    { classId: 'batch', priority: 1, batch: true, maxQueued: 1, deadlineMs: 30_000 },
    { classId: 'orders', priority: 10, batch: false, maxQueued: 5, deadlineMs: 10_000 },
  ],
  engines: ENGINES.map((address, index) => ({
    engineId: `engine-${index}`,
    address,
    region: 'near',
    availabilityZone: 'near-a',
    models: ['small', 'batch'],
    maxConcurrent: 1,
    honoursFencing: true,
  })),
};

function activeConfiguration(): ActiveConfiguration {
  return {
    revision: 1,
    stored: { revision: 1, sections: [] },
    document,
    organisationById: new Map(),
    organisationByKeySha256: new Map(
      document.organisations.flatMap((section) => section.keySha256.map((key) => [key, section] as const)),
    ),
    ruleByModel: new Map(document.rules.map((rule) => [rule.model, rule])),
    plainServiceById: new Map(
      document.services.flatMap((service) =>
        service.kind === ServiceKind.Plain ? [[service.serviceId, service] as const] : [],
      ),
    ),
  };
}

export type OpenEffect = Extract<Effect, { kind: EffectKind.UpstreamOpen }>;

/** Test harness that sends events to a router core with a fake ledger and a fake clock. */
export class RequestBench {
  readonly core: RouterCore;
  effects: Effect[] = [];
  readonly ledger: string[] = [];
  completeDelayMs = 0;
  /** If set, the ledger refuses every reservation. */
  reserveFailure: ReserveFailure | undefined;
  /** Reply of the peers to a record query. */
  peerRecords: RecordLookupResult = { records: [], runningAddress: undefined };
  nowMs = 1_000;
  private exchangeCount = 0;

  constructor(hasConfiguration = true, probeIntervalMs = 1_000_000) {
    this.core = new RouterCore({
      identity: {
        routerId: 'r1',
        vmId: 'vm1',
        region: 'near',
        storeRegion: 'near',
        availabilityZone: 'near-a',
        callerAddress: '127.1.0.1:8080',
        peerAddress: '127.1.0.1:8081',
      },
      random: seededRandom(7),
      clock: { monotonicMs: this.nowMs, wallMs: this.nowMs },
      parseConfiguration: () => ok({ ...document, [SectionName.Budgets]: [] }),
      // Probing has its own tests, so the default interval disables it here.
      options: { ...DEFAULT_CORE_OPTIONS, probeIntervalMs },
    });
    this.core.board.configuration = hasConfiguration ? activeConfiguration() : undefined;
    this.core.board.routerState = RouterState.Live;
    this.core.board.requests.money = this.fakeMoney();
  }

  /** Adds engines configured like the first one. */
  addEngines(...addresses: string[]): void {
    const { configuration } = this.core.board;
    const [first] = document.engines;
    if (configuration === undefined || first === undefined) {
      throw new Error('The configuration has no engines.');
    }
    const addedEngines = addresses.map((address) => ({ ...first, address, engineId: address }));
    const engines = [...configuration.document.engines, ...addedEngines];
    this.core.board.configuration = {
      ...configuration,
      document: { ...configuration.document, engines },
    };
  }

  /** Advances the clock in steps of 250 ms, as the shell does, because the core treats a longer gap as a pause. */
  advance(durationMs: number): void {
    for (const endMs = this.nowMs + durationMs; this.nowMs < endMs;) {
      this.nowMs = Math.min(endMs, this.nowMs + 250);
      this.send();
    }
  }

  send(...events: CoreEvent[]): void {
    const clock = { monotonicMs: this.nowMs, wallMs: this.nowMs };
    this.effects.push(...this.core.step(events, clock).effects);
  }

  sendRequest(request: CallerRequest, metadata: Partial<CallerMetadata> = {}): string {
    this.exchangeCount += 1;
    const exchangeId = `x${this.exchangeCount}`;
    const base = { keySha256: KEY_SHA256, idempotencyKey: undefined, redirected: false, target: '/v1/x' };
    const full = { ...base, ...metadata };
    this.send({ kind: EventKind.CallerArrived, exchangeId, request, metadata: full });
    return exchangeId;
  }

  chat(metadata: Partial<CallerMetadata> = {}, content = 'hello', model = 'small', stream = true): string {
    const messages = [{ role: 'user', content }];
    const kind = CallerRequestKind.ChatCompletion;
    return this.sendRequest({ kind, model, messages, maxOutputTokens: 10, stream }, metadata);
  }

  call(method: string, path: string, metadata: Partial<CallerMetadata> = {}, body = '{}'): string {
    const kind = CallerRequestKind.ServiceCall;
    const contentType = 'application/json';
    return this.sendRequest({ kind, serviceId: 'orders', method, path, body, contentType }, metadata);
  }

  chunk(attemptId: string, index: number, text: string, finish?: EngineFinish): void {
    this.send({ kind: EventKind.UpstreamChunk, attemptId, chunk: { index, text, finish } });
  }

  finish(attemptId: string, index: number, outputTokens = 1): void {
    const usage = { reason: 'stop', promptTokens: 3, cachedPromptTokens: 0, outputTokens };
    this.chunk(attemptId, index, '!', usage);
  }

  fail(attemptId: string, mayHaveReachedUpstream: boolean): void {
    this.send({
      kind: EventKind.UpstreamFailed,
      attemptId,
      mayHaveReachedUpstream,
      detail: 'test',
    });
  }

  respondToCall(attemptId: string, status = 200, body = 'done'): void {
    const contentType = 'text/plain';
    this.send({ kind: EventKind.UpstreamEnded, attemptId, status, body, contentType });
  }

  tableReply(callId: string, outcome: TableOutcome): void {
    this.send({ kind: EventKind.TableReply, callId, outcome });
  }

  ofKind<K extends EffectKind>(kind: K): Extract<Effect, { kind: K }>[] {
    return this.effects.filter((effect): effect is Extract<Effect, { kind: K }> => effect.kind === kind);
  }

  get opens(): OpenEffect[] {
    return this.ofKind(EffectKind.UpstreamOpen);
  }

  open(index: number): OpenEffect {
    const found = this.opens[index];
    if (found === undefined) {
      throw new Error(`Expected at least ${index + 1} attempts, but there are ${this.opens.length}.`);
    }
    return found;
  }

  lastCommit(): Extract<Effect, { kind: EffectKind.TableCommit }> {
    const found = this.ofKind(EffectKind.TableCommit).at(-1);
    if (found === undefined) {
      throw new Error('Expected a table commit.');
    }
    return found;
  }

  lastRead(): Extract<Effect, { kind: EffectKind.TableRead }> {
    const found = this.ofKind(EffectKind.TableRead).at(-1);
    if (found === undefined) {
      throw new Error('Expected a table read.');
    }
    return found;
  }

  problem(exchangeId: string): Problem | undefined {
    return this.ofKind(EffectKind.CallerProblem).find((effect) => effect.exchangeId === exchangeId)?.problem;
  }

  /** All data sent to a caller. */
  receivedData(exchangeId: string): string {
    return this.effects
      .flatMap((effect) =>
        (effect.kind === EffectKind.CallerChunk || effect.kind === EffectKind.CallerEnd) &&
        effect.exchangeId === exchangeId
          ? [effect.data]
          : [],
      )
      .join('');
  }

  /** The concatenated text of a streamed answer. */
  streamedText(exchangeId: string): string {
    return [...this.receivedData(exchangeId).matchAll(/"content":"([^"]*)"/g)]
      .map((match) => match[1])
      .join('');
  }

  private fakeMoney(): MoneyFunctions {
    const { ledger } = this;
    const reserveFailure = (): ReserveFailure | undefined => this.reserveFailure;
    const peerRecords = (): RecordLookupResult => this.peerRecords;
    const completeDelay = (): number => this.completeDelayMs;
    return {
      *reserve(context, { requestId, organisationId, amountMicros }) {
        const failure = reserveFailure();
        if (failure !== undefined) {
          return err(failure);
        }
        ledger.push(`reserve ${amountMicros}`);
        return ok({
          requestId,
          organisationId,
          amountMicros,
          incarnationId: context.board.incarnationId,
        });
      },
      *replicateReservation() {
        ledger.push('replicate');
      },
      *completeReservation(context, _reservation, usedMicros) {
        if (completeDelay() > 0) {
          yield* sleepUntil(context.clock.monotonicMs + completeDelay());
        }
        ledger.push(`complete ${usedMicros}`);
      },
      releaseReservation() {
        ledger.push('release');
      },
      *findRecords() {
        return peerRecords();
      },
      *adoptUsage(_context, { incarnationId, amountMicros }) {
        ledger.push(`adopt ${amountMicros} of ${incarnationId}`);
      },
    };
  }
}
