import type { ChatMessage, EngineChunk } from '@pimentostall/core';
import { expectedOutputTokens } from './answerText.ts';
import type { PromptBlocks } from './promptBlocks.ts';
import { promptBlocks } from './promptBlocks.ts';

export interface EngineRequest {
  readonly requestId: string;
  readonly model: string;
  readonly messages: readonly ChatMessage[];
  readonly maxOutputTokens: number;
  readonly priority: number;
}

export enum SequenceState {
  Queued = 'queued',
  Running = 'running',
  Finished = 'finished',
  Cancelled = 'cancelled',
}

/** A request with the tokens generated for it so far. */
export interface Sequence {
  readonly request: EngineRequest;
  readonly blocks: PromptBlocks;
  readonly targetTokens: number;
  readonly order: number;
  readonly chunks: EngineChunk[];
  state: SequenceState;
  cachedPromptTokens: number;
  /** Time of the next token; only valid while the sequence is running. */
  nextTokenMs: number;
  readerCount: number;
  /** Time at which the last reader disconnected or the sequence ended; initially the time of creation. */
  idleSinceMs: number;
}

export function createSequence(request: EngineRequest, order: number, nowMs: number): Sequence {
  return {
    request,
    blocks: promptBlocks(request.model, request.messages),
    targetTokens: expectedOutputTokens(request.requestId, request.maxOutputTokens),
    order,
    chunks: [],
    state: SequenceState.Queued,
    cachedPromptTokens: 0,
    nextTokenMs: Infinity,
    readerCount: 0,
    idleSinceMs: nowMs,
  };
}

/** Sorts by descending priority, then by order of arrival. */
export function compareQueued(a: Sequence, b: Sequence): number {
  return b.request.priority - a.request.priority || a.order - b.order;
}

/** Whether the sequence is queued or running. */
export function isActive(sequence: Sequence): boolean {
  return sequence.state === SequenceState.Queued || sequence.state === SequenceState.Running;
}
