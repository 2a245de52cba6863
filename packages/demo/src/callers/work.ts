import type { ChatMessage, RandomSource } from '@pimentostall/core';
import { CallKind } from '../auditor/types.ts';
import type { DemoOrganisation } from '../place/organisations.ts';
import type { Place } from '../place/places.ts';
import { PRICES } from '../place/prices.ts';

/** One request of a caller, before its attempts. */
export interface Work {
  readonly kind: CallKind;
  readonly key: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body: string | undefined;
  readonly worstCaseMicros: number;
}

const ORDER_SHARE = 0.15;
const LOOKUP_SHARE = 0.15;
const TEMPLATE_TOKENS_PER_MESSAGE = 8;
const SYSTEM_PROMPT = 'You answer briefly and in plain words. '.repeat(8);
const TOPICS = ['a lesson plan', 'an exposure walkthrough', 'a verse', 'a letter', 'a label'];

export function nextWork(
  place: Place,
  organisation: DemoOrganisation,
  key: string,
  random: RandomSource,
): Work {
  const draw = random();
  if (draw < ORDER_SHARE) {
    return orderWork(place, key);
  }
  return draw < ORDER_SHARE + LOOKUP_SHARE
    ? lookupWork(place, key)
    : chatWork(place, organisation, key, random);
}

function orderWork(place: Place, key: string): Work {
  const path = `/v1/services/${place.plainServiceId}${place.orderPath}`;
  const body = JSON.stringify({ key, item: 'kit', quantity: 1 });
  return { kind: CallKind.Order, key, method: 'POST', path, body, worstCaseMicros: PRICES.orderMicros };
}

function lookupWork(place: Place, key: string): Work {
  const path = `/v1/services/${place.plainServiceId}${place.lookupPath}?item=kit`;
  const worstCaseMicros = PRICES.lookupMicros;
  return { kind: CallKind.Lookup, key, method: 'GET', path, body: undefined, worstCaseMicros };
}

function chatWork(place: Place, organisation: DemoOrganisation, key: string, random: RandomSource): Work {
  const topic = TOPICS[Math.floor(random() * TOPICS.length)] ?? '';
  const messages: ChatMessage[] = [
    { role: 'system', content: SYSTEM_PROMPT },
    { role: 'user', content: `Write ${topic} for ${organisation.organisationId}.` },
  ];
  const { maxOutputTokens } = PRICES;
  const body = JSON.stringify({ model: place.model, messages, max_tokens: maxOutputTokens, stream: true });
  const path = '/v1/chat/completions';
  return {
    kind: CallKind.Chat,
    key,
    method: 'POST',
    path,
    body,
    worstCaseMicros: worstCaseMicros(messages),
  };
}

/** A token is at least one byte, so this bound holds for every tokeniser. */
function worstCaseMicros(messages: readonly ChatMessage[]): number {
  const promptTokens = messages.reduce(
    (sum, { role, content }) => sum + Buffer.byteLength(role + content) + TEMPLATE_TOKENS_PER_MESSAGE,
    0,
  );
  return promptTokens * PRICES.promptMicrosPerToken + PRICES.maxOutputTokens * PRICES.outputMicrosPerToken;
}
