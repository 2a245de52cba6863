import type { ModelRule } from '../types/configuration.ts';
import type { ChatMessage, EngineFinish } from '../types/requests.ts';

/** Byte-level tokenisers never produce more tokens than UTF-8 bytes, so 1 keeps the estimate an upper bound. */
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

/** Returns an upper bound of the prompt's token count. */
export function maxPromptTokens(messages: readonly ChatMessage[]): number {
  return messages.reduce((sum, message) => {
    const textTokens = Math.ceil(utf8Length(message.role + message.content) / MIN_BYTES_PER_TOKEN);
    return sum + textTokens + TEMPLATE_TOKENS_PER_MESSAGE;
  }, 0);
}

/** English text has about 4 bytes per token. Used if the engine reports no count. */
const TYPICAL_BYTES_PER_TOKEN = 4;

/** Estimates the prompt's token count. Never exceeds the upper bound. */
export function estimatePromptTokens(messages: readonly ChatMessage[]): number {
  return Math.ceil(maxPromptTokens(messages) / TYPICAL_BYTES_PER_TOKEN);
}

/** Returns the output token limit of a request: the requested limit, capped by the rule. */
export function outputLimit(rule: ModelRule, requested: number | undefined): number {
  const requestedTokens =
    requested !== undefined && Number.isFinite(requested) ? requested : rule.maxOutputTokens;
  return Math.max(1, Math.min(rule.maxOutputTokens, Math.floor(requestedTokens)));
}

/** Returns the maximum cost of the request, which is the amount to reserve. */
export function worstCaseMicros(
  rule: ModelRule,
  messages: readonly ChatMessage[],
  outputTokens: number,
): number {
  const promptMicros = maxPromptTokens(messages) * rule.promptMicrosPerToken;
  return Math.ceil(promptMicros + outputTokens * rule.outputMicrosPerToken);
}

/** Computes the bill from the token counts. It never exceeds the reservation, which limits the organisation's spend. */
export function billMicros(
  rule: ModelRule,
  usage: Pick<EngineFinish, 'promptTokens' | 'outputTokens'>,
  reservedMicros: number,
): number {
  const exactMicros =
    usage.promptTokens * rule.promptMicrosPerToken + usage.outputTokens * rule.outputMicrosPerToken;
  // Non-finite counts come from a faulty engine. The request ran, so the whole reservation is billed.
  const usedMicros = Number.isFinite(exactMicros) ? Math.ceil(exactMicros) : reservedMicros;
  return Math.max(0, Math.min(reservedMicros, usedMicros));
}
