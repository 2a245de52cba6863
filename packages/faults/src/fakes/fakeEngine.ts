import type { EngineModels, EngineOrder } from '@pimentostall/core';
import { hash32 } from '@pimentostall/core';

/** Speed of an engine and the range of its answer lengths. The request id determines the length of an answer. */
export interface FakeEngineOptions {
  readonly prefillMs: number;
  readonly tokenIntervalMs: number;
  readonly minOutputTokens: number;
  readonly outputTokenSpread: number;
  /** Addresses of the engines that accept orders with an outdated fencing number. */
  readonly fencingIgnoredBy?: readonly string[];
  /** Called when a stream starts. */
  readonly onStart?: (stream: FakeStream) => void;
}

export const DEFAULT_FAKE_ENGINE_OPTIONS: FakeEngineOptions = {
  prefillMs: 40,
  tokenIntervalMs: 25,
  minOutputTokens: 4,
  outputTokenSpread: 12,
};

export interface FakeStream {
  readonly requestId: string;
  readonly startedAtMs: number;
  readonly outputTokens: number;
  readonly promptTokens: number;
  cancelledAtMs: number | undefined;
}

/** Text of one token. It identifies its request and index, so that checks detect foreign and missing tokens. */
export function tokenText(requestId: string, index: number): string {
  return `${hash32(requestId).toString(36)}.${index} `;
}

export function outputTokensOf(
  requestId: string,
  maxOutputTokens: number,
  options: FakeEngineOptions = DEFAULT_FAKE_ENGINE_OPTIONS,
): number {
  const { minOutputTokens, outputTokenSpread } = options;
  return Math.min(maxOutputTokens, minOutputTokens + (hash32(requestId) % outputTokenSpread));
}

export function answerText(requestId: string, outputTokens: number): string {
  return Array.from({ length: outputTokens }, (_, index) => tokenText(requestId, index)).join('');
}

/** Fake inference engine. Its streams are keyed by request id and continue without a reader. */
export class FakeEngine {
  readonly streams = new Map<string, FakeStream>();
  leavingSinceMs: number | undefined;

  /** Accepted orders in the order of their arrival. */
  readonly orders: (EngineOrder & { readonly atMs: number })[] = [];

  constructor(
    readonly address: string,
    private readonly options: FakeEngineOptions = DEFAULT_FAKE_ENGINE_OPTIONS,
  ) {}

  /** Returns false for an order with an outdated fencing number, unless this engine ignores fencing numbers. */
  acceptOrder(order: EngineOrder, nowMs: number): boolean {
    const highestFencingNumber = Math.max(0, ...this.orders.map(({ fencingNumber }) => fencingNumber));
    const ignoresFencing = this.options.fencingIgnoredBy?.includes(this.address) ?? false;
    if (!ignoresFencing && order.fencingNumber < highestFencingNumber) {
      return false;
    }
    this.orders.push({ ...order, atMs: nowMs });
    return true;
  }

  models(): EngineModels {
    return Object.fromEntries(this.orders.map(({ model, state }) => [model, state]));
  }

  /** Starts a stream. Returns undefined if the engine already knows the request id. */
  start(
    requestId: string,
    promptTokens: number,
    maxOutputTokens: number,
    nowMs: number,
  ): FakeStream | undefined {
    if (this.streams.has(requestId)) {
      return undefined;
    }
    const stream: FakeStream = {
      requestId,
      startedAtMs: nowMs,
      promptTokens,
      outputTokens: outputTokensOf(requestId, maxOutputTokens, this.options),
      cancelledAtMs: undefined,
    };
    this.streams.set(requestId, stream);
    this.options.onStart?.(stream);
    return stream;
  }

  cancel(requestId: string, nowMs: number): void {
    const stream = this.streams.get(requestId);
    if (stream !== undefined) {
      stream.cancelledAtMs ??= nowMs;
    }
  }

  /** Time at which a chunk is generated. */
  chunkAtMs(stream: FakeStream, index: number): number {
    const { prefillMs, tokenIntervalMs } = this.options;
    return stream.startedAtMs + prefillMs + index * tokenIntervalMs;
  }

  /** Number of tokens generated so far. */
  generatedTokens(stream: FakeStream, nowMs: number): number {
    const untilMs = stream.cancelledAtMs ?? nowMs;
    const { prefillMs, tokenIntervalMs } = this.options;
    const count = Math.floor((untilMs - stream.startedAtMs - prefillMs) / tokenIntervalMs) + 1;
    return Math.max(0, Math.min(stream.outputTokens, count));
  }
}
