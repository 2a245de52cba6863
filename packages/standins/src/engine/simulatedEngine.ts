import type { EngineFinish } from '@pimentostall/core';
import { tokenText } from './answerText.ts';
import type { SimulatedEngineOptions } from './options.ts';
import { DEFAULT_SIMULATED_ENGINE_OPTIONS } from './options.ts';
import { PrefixCache } from './prefixCache.ts';
import { cachedTokens } from './promptBlocks.ts';
import type { EngineRequest, Sequence } from './sequence.ts';
import { compareQueued, createSequence, isOpen, SequenceState } from './sequence.ts';

export enum SubmitOutcome {
  Accepted = 'accepted',
  /** The request identity is known; its stream can be resumed. */
  AlreadyKnown = 'known',
  QueueFull = 'queueFull',
}

export interface EngineUsage {
  readonly promptTokens: number;
  readonly cachedPromptTokens: number;
  readonly outputTokens: number;
}

/** Prompt blocks that entered the cache at a time. */
export interface CacheEvent {
  readonly atMs: number;
  readonly hashes: readonly string[];
}

/** Enough for every load report within its window; older events are dropped, as real engines drop them. */
const MAX_CACHE_EVENTS = 256;

/** A model engine with continuous batching. It is driven by the times it is given and never by a clock. */
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
    return this.#inState(SequenceState.Running).length;
  }

  get queuedCount(): number {
    return this.#inState(SequenceState.Queued).length;
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
    const full = this.runningCount >= this.#options.maxRunning;
    if (full && this.queuedCount >= this.#options.maxQueued) {
      return SubmitOutcome.QueueFull;
    }
    this.#submittedCount += 1;
    this.#sequences.set(request.requestId, createSequence(request, this.#submittedCount, nowMs));
    this.#admit(nowMs);
    return SubmitOutcome.Accepted;
  }

  /** Generates all tokens that are due by the given time, in the order of their times. */
  advance(nowMs: number): void {
    let next = this.#nextRunning();
    while (next !== undefined && next.nextTokenMs <= nowMs) {
      this.#generate(next);
      next = this.#nextRunning();
    }
    this.#dropIdle(nowMs);
  }

  /** When the next token is due; undefined while nothing runs. */
  nextEventMs(): number | undefined {
    return this.#nextRunning()?.nextTokenMs;
  }

  /** Stops the work of a request and states what it has used; undefined if it is unknown. */
  cancel(requestId: string, nowMs: number): EngineUsage | undefined {
    this.advance(nowMs);
    const sequence = this.#sequences.get(requestId);
    if (sequence === undefined) {
      return undefined;
    }
    if (isOpen(sequence)) {
      sequence.state = SequenceState.Cancelled;
      sequence.idleSinceMs = nowMs;
      this.#admit(nowMs);
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

  /** Time between two tokens of a sequence at the present batch size. */
  #intervalMs(): number {
    return this.#tokenIntervalMs + (this.runningCount - 1) * this.#options.tokenIntervalPerSequenceMs;
  }

  #inState(state: SequenceState): Sequence[] {
    return [...this.#sequences.values()].filter((sequence) => sequence.state === state);
  }

  #nextRunning(): Sequence | undefined {
    return this.#inState(SequenceState.Running).sort(
      (a, b) => a.nextTokenMs - b.nextTokenMs || a.order - b.order,
    )[0];
  }

  #admit(nowMs: number): void {
    const free = this.#options.maxRunning - this.runningCount;
    for (const sequence of this.#inState(SequenceState.Queued).sort(compareQueued).slice(0, free)) {
      this.#start(sequence, nowMs);
    }
  }

  #start(sequence: Sequence, nowMs: number): void {
    const { hashes } = sequence.blocks;
    const cachedBlocks = this.#cache.cachedBlockCount(hashes);
    sequence.cachedPromptTokens = cachedTokens(sequence.blocks, cachedBlocks);
    const added = this.#cache.insert(hashes);
    if (added.length > 0) {
      this.#cacheEvents = [...this.#cacheEvents, { atMs: nowMs, hashes: added }].slice(-MAX_CACHE_EVENTS);
    }
    sequence.state = SequenceState.Running;
    const prefillMs = (hashes.length - cachedBlocks) * this.#options.prefillMsPerBlock;
    sequence.nextTokenMs = nowMs + prefillMs + this.#intervalMs();
  }

  #generate(sequence: Sequence): void {
    const atMs = sequence.nextTokenMs;
    const index = sequence.chunks.length;
    const isLast = index + 1 >= sequence.targetTokens;
    const finish = isLast ? finishOf(sequence, index + 1) : undefined;
    sequence.chunks.push({ index, text: tokenText(sequence.request.requestId, index), finish });
    sequence.nextTokenMs = atMs + this.#intervalMs();
    if (isLast) {
      sequence.state = SequenceState.Finished;
      sequence.idleSinceMs = atMs;
      this.#admit(atMs);
    }
  }

  #dropIdle(nowMs: number): void {
    for (const [requestId, sequence] of this.#sequences) {
      const idleMs = sequence.readerCount > 0 ? 0 : nowMs - sequence.idleSinceMs;
      if (isOpen(sequence) && idleMs >= this.#options.unreadLimitMs) {
        sequence.state = SequenceState.Cancelled;
        this.#admit(nowMs);
      } else if (!isOpen(sequence) && idleMs >= this.#options.keepMs) {
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

function finishOf(sequence: Sequence, outputTokens: number): EngineFinish {
  const reason = outputTokens < sequence.request.maxOutputTokens ? 'stop' : 'length';
  return { reason, ...usageOf(sequence), outputTokens };
}
