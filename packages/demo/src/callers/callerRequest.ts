import type { ChatMessage, RandomSource } from '@pimentostall/core';
import { CallKind } from '../auditor/types.ts';
import type { Deployment } from '../deployment/deployments.ts';
import type { DemoOrganisation } from '../deployment/organisations.ts';
import { PRICES } from '../deployment/prices.ts';

/** A request of a caller, independent of the attempts to send it. */
export interface CallerRequest {
  readonly kind: CallKind;
  readonly key: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body: string | undefined;
  readonly worstCaseMicros: number;
}

const ORDER_RATIO = 0.15;
const LOOKUP_RATIO = 0.15;
const TEMPLATE_TOKENS_PER_MESSAGE = 8;
const SYSTEM_PROMPT = 'You answer briefly and in plain words. '.repeat(8);
const TOPICS = ['a lesson plan', 'an exposure walkthrough', 'a verse', 'a letter', 'a label'];

export function nextCallerRequest(
  deployment: Deployment,
  organisation: DemoOrganisation,
  key: string,
  random: RandomSource,
): CallerRequest {
  const sample = random();
  if (sample < ORDER_RATIO) {
    return createOrder(deployment, key);
  }
  return sample < ORDER_RATIO + LOOKUP_RATIO
    ? createLookup(deployment, key)
    : createChat(deployment, organisation, key, random);
}

function createOrder(deployment: Deployment, key: string): CallerRequest {
  const path = `/v1/services/${deployment.plainServiceId}${deployment.orderPath}`;
  const body = JSON.stringify({ key, item: 'kit', quantity: 1 });
  return { kind: CallKind.Order, key, method: 'POST', path, body, worstCaseMicros: PRICES.orderMicros };
}

function createLookup(deployment: Deployment, key: string): CallerRequest {
  const path = `/v1/services/${deployment.plainServiceId}${deployment.lookupPath}?item=kit`;
  const worstCaseMicros = PRICES.lookupMicros;
  return { kind: CallKind.Lookup, key, method: 'GET', path, body: undefined, worstCaseMicros };
}

function createChat(
  deployment: Deployment,
  organisation: DemoOrganisation,
  key: string,
  random: RandomSource,
): CallerRequest {
  const topic = TOPICS[Math.floor(random() * TOPICS.length)] ?? '';
  const messages: ChatMessage[] = [
    { role: 'system', content: SYSTEM_PROMPT },
    { role: 'user', content: `Write ${topic} for ${organisation.organisationId}.` },
  ];
  const { maxOutputTokens } = PRICES;
  const body = JSON.stringify({
    model: deployment.model,
    messages,
    max_tokens: maxOutputTokens,
    stream: true,
  });
  const path = '/v1/chat/completions';
  return {
    kind: CallKind.Chat,
    key,
    method: 'POST',
    path,
    body,
    worstCaseMicros: maxChatCostMicros(messages),
  };
}

/** Upper bound of the price for any tokeniser, because a token has at least one byte. */
function maxChatCostMicros(messages: readonly ChatMessage[]): number {
  const promptTokens = messages.reduce(
    (sum, { role, content }) => sum + Buffer.byteLength(role + content) + TEMPLATE_TOKENS_PER_MESSAGE,
    0,
  );
  return promptTokens * PRICES.promptMicrosPerToken + PRICES.maxOutputTokens * PRICES.outputMicrosPerToken;
}
