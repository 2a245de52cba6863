import type { EngineFinish } from '@pimentostall/core';
import { tokenText } from './answerText.ts';
import type { SimulatedEngineOptions } from './options.ts';
import { DEFAULT_SIMULATED_ENGINE_OPTIONS } from './options.ts';
import { PrefixCache } from './prefixCache.ts';
import { cachedTokens } from './promptBlocks.ts';
import type { EngineRequest, Sequence } from './sequence.ts';
import { compareQueued, createSequence, isActive, SequenceState } from './sequence.ts';

export enum SubmitOutcome {
  Accepted = 'accepted',
  /** The request ID is already in use; its stream can be resumed. */
  AlreadyKnown = 'known',
  QueueFull = 'queueFull',
}

export interface EngineUsage {
  readonly promptTokens: number;
  readonly cachedPromptTokens: number;
  readonly outputTokens: number;
}

/** Prompt blocks that were added to the prefix cache. */
export interface CacheEvent {
  readonly atMs: number;
  readonly hashes: readonly string[];
}

/** Covers the window of the load reports. Older events are dropped, as real engines do. */
const MAX_CACHE_EVENTS = 256;

/** Simulated inference engine with continuous batching. It reads no clock: callers pass the current time. */
export class SimulatedEngine {
  readonly #options: SimulatedEngineOptions;
  readonly #cache: PrefixCache;
  readonly #sequences = new Map<string, Sequence>();
  #cacheEvents: CacheEvent[] = [];
  #tokenIntervalMs: number;
  #submittedCount = 0;

  constructor(options: Partial<SimulatedEngineOptions> = {}) {
    this.#options = { ...DEFAULT_SIMULATED_ENGINE_OPTIONS, ...options };
    this.#cache = new PrefixCache(this.#options.cacheBlocks);
    this.#tokenIntervalMs = this.#options.tokenIntervalMs;
  }

  get runningCount(): number {
    return this.#sequencesInState(SequenceState.Running).length;
  }

  get queuedCount(): number {
    return this.#sequencesInState(SequenceState.Queued).length;
  }

  get cacheEvents(): readonly CacheEvent[] {
    return this.#cacheEvents;
  }

  setTokenInterval(tokenIntervalMs: number): void {
    this.#tokenIntervalMs = tokenIntervalMs;
  }

  sequence(requestId: string): Readonly<Sequence> | undefined {
    return this.#sequences.get(requestId);
  }

  submit(request: EngineRequest, nowMs: number): SubmitOutcome {
    this.advance(nowMs);
    if (this.#sequences.has(request.requestId)) {
      return SubmitOutcome.AlreadyKnown;
    }
    const batchIsFull = this.runningCount >= this.#options.maxRunning;
    if (batchIsFull && this.queuedCount >= this.#options.maxQueued) {
      return SubmitOutcome.QueueFull;
    }
    this.#submittedCount += 1;
    this.#sequences.set(request.requestId, createSequence(request, this.#submittedCount, nowMs));
    this.#startQueued(nowMs);
    return SubmitOutcome.Accepted;
  }

  /** Generates all tokens that are due by the given time, in chronological order. */
  advance(nowMs: number): void {
    let next = this.#nextSequence();
    while (next !== undefined && next.nextTokenMs <= nowMs) {
      this.#generateToken(next);
      next = this.#nextSequence();
    }
    this.#expireIdle(nowMs);
  }

  /** Time of the next token, or undefined if no sequence is running. */
  nextEventMs(): number | undefined {
    return this.#nextSequence()?.nextTokenMs;
  }

  /** Cancels a request and returns its usage, or undefined if the request is unknown. */
  cancel(requestId: string, nowMs: number): EngineUsage | undefined {
    this.advance(nowMs);
    const sequence = this.#sequences.get(requestId);
    if (sequence === undefined) {
      return undefined;
    }
    if (isActive(sequence)) {
      sequence.state = SequenceState.Cancelled;
      sequence.idleSinceMs = nowMs;
      this.#startQueued(nowMs);
    }
    return usageOf(sequence);
  }

  addReader(requestId: string): void {
    const sequence = this.#sequences.get(requestId);
    if (sequence !== undefined) {
      sequence.readerCount += 1;
    }
  }

  removeReader(requestId: string, nowMs: number): void {
    const sequence = this.#sequences.get(requestId);
    if (sequence !== undefined) {
      sequence.readerCount -= 1;
      sequence.idleSinceMs = nowMs;
    }
  }

  /** Time between two tokens of a sequence at the current batch size. */
  #currentTokenIntervalMs(): number {
    return this.#tokenIntervalMs + (this.runningCount - 1) * this.#options.tokenIntervalPerSequenceMs;
  }

  #sequencesInState(state: SequenceState): Sequence[] {
    return [...this.#sequences.values()].filter((sequence) => sequence.state === state);
  }

  #nextSequence(): Sequence | undefined {
    return this.#sequencesInState(SequenceState.Running).sort(
      (a, b) => a.nextTokenMs - b.nextTokenMs || a.order - b.order,
    )[0];
  }

  #startQueued(nowMs: number): void {
    const freeSlots = this.#options.maxRunning - this.runningCount;
    for (const sequence of this.#sequencesInState(SequenceState.Queued)
      .sort(compareQueued)
      .slice(0, freeSlots)) {
      this.#start(sequence, nowMs);
    }
  }

  #start(sequence: Sequence, nowMs: number): void {
    const { hashes } = sequence.blocks;
    const cachedBlocks = this.#cache.cachedBlockCount(hashes);
    sequence.cachedPromptTokens = cachedTokens(sequence.blocks, cachedBlocks);
    const newHashes = this.#cache.insert(hashes);
    if (newHashes.length > 0) {
      this.#cacheEvents = [...this.#cacheEvents, { atMs: nowMs, hashes: newHashes }].slice(-MAX_CACHE_EVENTS);
    }
    sequence.state = SequenceState.Running;
    const prefillMs = (hashes.length - cachedBlocks) * this.#options.prefillMsPerBlock;
    sequence.nextTokenMs = nowMs + prefillMs + this.#currentTokenIntervalMs();
  }

  #generateToken(sequence: Sequence): void {
    const atMs = sequence.nextTokenMs;
    const index = sequence.chunks.length;
    const isLast = index + 1 >= sequence.targetTokens;
    const finish = isLast ? createFinish(sequence, index + 1) : undefined;
    sequence.chunks.push({ index, text: tokenText(sequence.request.requestId, index), finish });
    sequence.nextTokenMs = atMs + this.#currentTokenIntervalMs();
    if (isLast) {
      sequence.state = SequenceState.Finished;
      sequence.idleSinceMs = atMs;
      this.#startQueued(atMs);
    }
  }

  #expireIdle(nowMs: number): void {
    for (const [requestId, sequence] of this.#sequences) {
      const idleMs = sequence.readerCount > 0 ? 0 : nowMs - sequence.idleSinceMs;
      if (isActive(sequence) && idleMs >= this.#options.unreadLimitMs) {
        sequence.state = SequenceState.Cancelled;
        this.#startQueued(nowMs);
      } else if (!isActive(sequence) && idleMs >= this.#options.keepMs) {
        this.#sequences.delete(requestId);
      }
    }
  }
}

export function usageOf(sequence: Readonly<Sequence>): EngineUsage {
  return {
    promptTokens: sequence.blocks.tokens,
    cachedPromptTokens: sequence.cachedPromptTokens,
    outputTokens: sequence.chunks.length,
  };
}

function createFinish(sequence: Sequence, outputTokens: number): EngineFinish {
  const reason = outputTokens < sequence.request.maxOutputTokens ? 'stop' : 'length';
  return { reason, ...usageOf(sequence), outputTokens };
}
