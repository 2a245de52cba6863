import { createHash } from 'node:crypto';

const WORDS = [
  'amber',
  'basalt',
  'cedar',
  'delta',
  'ember',
  'fjord',
  'grove',
  'harbor',
  'indigo',
  'juniper',
  'kelp',
  'lantern',
  'meadow',
  'nectar',
  'orchid',
  'pebble',
];

function hash(text: string): number {
  return createHash('sha256').update(text).digest().readUInt32BE(0);
}

/** The text of one output token: fixed by the request identity and the index, so that anyone can check it. */
export function tokenText(requestId: string, index: number): string {
  const value = hash(`${requestId}#${index}`);
  const word = WORDS[value % WORDS.length] ?? '';
  return `${word}${(value >>> 8).toString(36)} `;
}

/** The whole answer that an engine gives to a request identity. */
export function expectedAnswer(requestId: string, outputTokens: number): string {
  return Array.from({ length: outputTokens }, (_, index) => tokenText(requestId, index)).join('');
}

/** How many tokens the engine generates: between half of the maximum and all of it, fixed by the identity. */
export function expectedOutputTokens(requestId: string, maxOutputTokens: number): number {
  const least = Math.ceil(maxOutputTokens / 2);
  return least + (hash(`${requestId}#length`) % (maxOutputTokens - least + 1));
}
