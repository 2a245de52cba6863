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

/** Text of one output token. It depends only on the request ID and the index, so that clients can verify it. */
export function tokenText(requestId: string, index: number): string {
  const value = hash(`${requestId}#${index}`);
  const word = WORDS[value % WORDS.length] ?? '';
  return `${word}${(value >>> 8).toString(36)} `;
}

/** The complete text that an engine generates for a request ID. */
export function expectedAnswer(requestId: string, outputTokens: number): string {
  return Array.from({ length: outputTokens }, (_, index) => tokenText(requestId, index)).join('');
}

/** Number of tokens that an engine generates for a request ID: from half of the maximum up to the maximum. */
export function expectedOutputTokens(requestId: string, maxOutputTokens: number): number {
  const minOutputTokens = Math.ceil(maxOutputTokens / 2);
  return minOutputTokens + (hash(`${requestId}#length`) % (maxOutputTokens - minOutputTokens + 1));
}
