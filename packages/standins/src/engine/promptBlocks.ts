import { createHash } from 'node:crypto';
import type { ChatMessage } from '@pimentostall/core';

const CHARACTERS_PER_TOKEN = 4;
const TOKENS_PER_BLOCK = 16;
const CHARACTERS_PER_BLOCK = CHARACTERS_PER_TOKEN * TOKENS_PER_BLOCK;
const HASH_DIGITS = 16;

export interface PromptBlocks {
  readonly tokens: number;
  /** Hash of the prompt up to the end of each whole block: equal prefixes have equal hashes. */
  readonly hashes: readonly string[];
}

export function promptBlocks(messages: readonly ChatMessage[]): PromptBlocks {
  const text = messages.map(({ role, content }) => `${role}:${content}\n`).join('');
  const contentLength = messages.reduce((sum, { content }) => sum + content.length, 0);
  const blockCount = Math.floor(text.length / CHARACTERS_PER_BLOCK);
  const hashes = Array.from({ length: blockCount }, (_, index) =>
    createHash('sha256')
      .update(text.slice(0, (index + 1) * CHARACTERS_PER_BLOCK))
      .digest('hex')
      .slice(0, HASH_DIGITS),
  );
  return { tokens: Math.ceil(contentLength / CHARACTERS_PER_TOKEN), hashes };
}

/** Prompt tokens that a number of cached blocks covers. */
export function cachedTokens(blocks: PromptBlocks, cachedBlockCount: number): number {
  return Math.min(blocks.tokens, cachedBlockCount * TOKENS_PER_BLOCK);
}
