import type { ChatMessage } from '@pimentostall/core';
import { hash32 } from '@pimentostall/core';

const CHARACTERS_PER_TOKEN = 4;
/** Must equal the block size of the routers; otherwise the reported hashes would not match theirs. */
const CHARACTERS_PER_BLOCK = 256;
const TOKENS_PER_BLOCK = CHARACTERS_PER_BLOCK / CHARACTERS_PER_TOKEN;

export interface PromptBlocks {
  readonly tokens: number;
  /** One hash for each complete block. It includes the preceding blocks, so equal prefixes have equal hashes. */
  readonly hashes: readonly string[];
}

export function promptBlocks(model: string, messages: readonly ChatMessage[]): PromptBlocks {
  const text = messages.map(({ role, content }) => `${role}\n${content}\n`).join('');
  const contentLength = messages.reduce((sum, { content }) => sum + content.length, 0);
  const hashes: string[] = [];
  let previousHash = model;
  for (let end = CHARACTERS_PER_BLOCK; end <= text.length; end += CHARACTERS_PER_BLOCK) {
    const block = text.slice(end - CHARACTERS_PER_BLOCK, end);
    previousHash = hash32(`${previousHash}|${block}`).toString(16).padStart(8, '0');
    hashes.push(previousHash);
  }
  return { tokens: Math.ceil(contentLength / CHARACTERS_PER_TOKEN), hashes };
}

/** Number of prompt tokens in the given number of cached blocks. */
export function cachedTokens(blocks: PromptBlocks, cachedBlockCount: number): number {
  return Math.min(blocks.tokens, cachedBlockCount * TOKENS_PER_BLOCK);
}
