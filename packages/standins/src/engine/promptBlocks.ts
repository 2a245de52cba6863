import type { ChatMessage } from '@pimentostall/core';
import { hash32 } from '@pimentostall/core';

const CHARACTERS_PER_TOKEN = 4;
/** Routers hash prompts in blocks of the same size; with another size no reported hash would match theirs. */
const CHARACTERS_PER_BLOCK = 256;
const TOKENS_PER_BLOCK = CHARACTERS_PER_BLOCK / CHARACTERS_PER_TOKEN;

export interface PromptBlocks {
  readonly tokens: number;
  /** One hash per whole block, chained to the blocks before it: equal prefixes have equal hashes. */
  readonly hashes: readonly string[];
}

export function promptBlocks(model: string, messages: readonly ChatMessage[]): PromptBlocks {
  const text = messages.map(({ role, content }) => `${role}\n${content}\n`).join('');
  const contentLength = messages.reduce((sum, { content }) => sum + content.length, 0);
  const hashes: string[] = [];
  let previous = model;
  for (let end = CHARACTERS_PER_BLOCK; end <= text.length; end += CHARACTERS_PER_BLOCK) {
    const block = text.slice(end - CHARACTERS_PER_BLOCK, end);
    previous = hash32(`${previous}|${block}`).toString(16).padStart(8, '0');
    hashes.push(previous);
  }
  return { tokens: Math.ceil(contentLength / CHARACTERS_PER_TOKEN), hashes };
}

/** Prompt tokens that a number of cached blocks covers. */
export function cachedTokens(blocks: PromptBlocks, cachedBlockCount: number): number {
  return Math.min(blocks.tokens, cachedBlockCount * TOKENS_PER_BLOCK);
}
