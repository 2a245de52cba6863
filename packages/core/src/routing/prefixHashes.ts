import { hash32 } from '../hash.ts';
import type { ChatMessage } from '../types/requests.ts';

/** Small enough to match a shared system prompt, large enough to keep the hash lists short. */
export const PREFIX_BLOCK_CHARACTERS = 256;

/** Bounds the work and memory per prompt; only the first 16,384 characters of longer prompts are hashed. */
const MAX_PREFIX_BLOCKS = 64;

/** Returns a chained hash for each complete block of a prompt; each depends on all preceding blocks. */
export function prefixHashes(model: string, messages: readonly ChatMessage[]): string[] {
  const prompt = messages.map((message) => `${message.role}\n${message.content}\n`).join('');
  const blockCount = Math.min(MAX_PREFIX_BLOCKS, Math.floor(prompt.length / PREFIX_BLOCK_CHARACTERS));
  const hashes: string[] = [];
  let previous = model;
  for (let block = 0; block < blockCount; block += 1) {
    const start = block * PREFIX_BLOCK_CHARACTERS;
    const text = prompt.slice(start, start + PREFIX_BLOCK_CHARACTERS);
    previous = hash32(`${previous}|${text}`).toString(16).padStart(8, '0');
    hashes.push(previous);
  }
  return hashes;
}
