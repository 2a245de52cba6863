import type { ModelRule } from '../types/configuration.ts';
import type { ChatMessage, EngineFinish } from '../types/requests.ts';

/** Tokenisers of byte-level models never make more tokens than UTF-8 bytes; 1 keeps the estimate an upper bound. */
const MIN_BYTES_PER_TOKEN = 1;

/** Role markers and separators that a chat template adds to each message. */
const TEMPLATE_TOKENS_PER_MESSAGE = 8;

function utf8Length(text: string): number {
  let byteCount = 0;
  for (const character of text) {
    const codePoint = character.codePointAt(0) ?? 0;
    byteCount += codePoint < 0x80 ? 1 : codePoint < 0x800 ? 2 : codePoint < 0x10000 ? 3 : 4;
  }
  return byteCount;
}

/** Upper bound of the prompt's tokens. */
export function maxPromptTokens(messages: readonly ChatMessage[]): number {
  return messages.reduce((sum, message) => {
    const textTokens = Math.ceil(utf8Length(message.role + message.content) / MIN_BYTES_PER_TOKEN);
    return sum + textTokens + TEMPLATE_TOKENS_PER_MESSAGE;
  }, 0);
}

/** English text has about 4 bytes per token; used where the engine could not tell its count. */
const LIKELY_BYTES_PER_TOKEN = 4;

/** What a prompt probably costs in tokens; never more than the upper bound. */
export function likelyPromptTokens(messages: readonly ChatMessage[]): number {
  return Math.ceil(maxPromptTokens(messages) / LIKELY_BYTES_PER_TOKEN);
}

/** The output limit of a request: the caller's wish within the rule's limit. */
export function outputLimit(rule: ModelRule, requested: number | undefined): number {
  const wanted = requested !== undefined && Number.isFinite(requested) ? requested : rule.maxOutputTokens;
  return Math.max(1, Math.min(rule.maxOutputTokens, Math.floor(wanted)));
}

/** What the request costs at most; this amount is reserved. */
export function worstCaseMicros(
  rule: ModelRule,
  messages: readonly ChatMessage[],
  outputTokens: number,
): number {
  const promptMicros = maxPromptTokens(messages) * rule.promptMicrosPerToken;
  return Math.ceil(promptMicros + outputTokens * rule.outputMicrosPerToken);
}

/** The bill from the engine's counts. It never exceeds the reservation, which bounds the organisation's spend. */
export function billMicros(
  rule: ModelRule,
  usage: Pick<EngineFinish, 'promptTokens' | 'outputTokens'>,
  reservedMicros: number,
): number {
  const exactMicros =
    usage.promptTokens * rule.promptMicrosPerToken + usage.outputTokens * rule.outputMicrosPerToken;
  // Counts that are no numbers come from a faulty engine; the work ran all the same.
  const usedMicros = Number.isFinite(exactMicros) ? Math.ceil(exactMicros) : reservedMicros;
  return Math.max(0, Math.min(reservedMicros, usedMicros));
}
