import { hash32 } from '@pimentostall/core';

const PREFILL_MS = 40;
const TOKEN_INTERVAL_MS = 25;
const MIN_OUTPUT_TOKENS = 4;
const OUTPUT_TOKEN_SPREAD = 12;

export interface FakeStream {
  readonly requestId: string;
  readonly startedAtMs: number;
  readonly outputTokens: number;
  readonly promptTokens: number;
  cancelledAtMs: number | undefined;
}

/** The text of one token: it names its request, so that a foreign or missing token is seen at once. */
export function tokenText(requestId: string, index: number): string {
  return `${hash32(requestId).toString(36)}.${index} `;
}

export function outputTokensOf(requestId: string, maxOutputTokens: number): number {
  return Math.min(maxOutputTokens, MIN_OUTPUT_TOKENS + (hash32(requestId) % OUTPUT_TOKEN_SPREAD));
}

export function answerText(requestId: string, outputTokens: number): string {
  return Array.from({ length: outputTokens }, (_, index) => tokenText(requestId, index)).join('');
}

/** An engine as the core's effects see it: streams by request identity that go on without a reader. */
export class FakeEngine {
  readonly streams = new Map<string, FakeStream>();
  leavingSinceMs: number | undefined;

  constructor(readonly address: string) {}

  /** Starts a stream; undefined means that the identity is known already. */
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
      outputTokens: outputTokensOf(requestId, maxOutputTokens),
      cancelledAtMs: undefined,
    };
    this.streams.set(requestId, stream);
    return stream;
  }

  cancel(requestId: string, nowMs: number): void {
    const stream = this.streams.get(requestId);
    if (stream !== undefined) {
      stream.cancelledAtMs ??= nowMs;
    }
  }

  /** Time at which a chunk exists. */
  chunkAtMs(stream: FakeStream, index: number): number {
    return stream.startedAtMs + PREFILL_MS + index * TOKEN_INTERVAL_MS;
  }

  /** Tokens that the engine generated until now. */
  generatedTokens(stream: FakeStream, nowMs: number): number {
    const untilMs = stream.cancelledAtMs ?? nowMs;
    const count = Math.floor((untilMs - stream.startedAtMs - PREFILL_MS) / TOKEN_INTERVAL_MS) + 1;
    return Math.max(0, Math.min(stream.outputTokens, count));
  }
}
