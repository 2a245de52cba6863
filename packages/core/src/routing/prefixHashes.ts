import { hash32 } from '../hash.ts';
import type { ChatMessage } from '../types/requests.ts';

/** Short enough to find a common system prompt, long enough to keep the lists small. */
export const PREFIX_BLOCK_CHARACTERS = 256;

/** Bounds the work and memory for one prompt; longer prompts are told apart by their first 16,384 characters. */
const MAX_PREFIX_BLOCKS = 64;

/** Hashes of the growing prefixes of a prompt, one per whole block; each depends on all blocks before it. */
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
