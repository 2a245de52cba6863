import type { ChatCompletionRequest, ChatMessage, Problem } from '@pimentostall/core';
import { CallerRequestKind } from '@pimentostall/core';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { malformedRequest } from '../http/problems.ts';

const MAX_NAME_LENGTH = 256;
const MAX_MESSAGES = 1024;

type JsonObject = Readonly<Record<string, unknown>>;

function invalidField(field: string, expected: string): Problem {
  return malformedRequest(400, 'Malformed chat completion', `${field} must be ${expected}.`);
}

function isJsonObject(value: unknown): value is JsonObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function isValidName(value: unknown): value is string {
  return typeof value === 'string' && value.length > 0 && value.length <= MAX_NAME_LENGTH;
}

function parseJson(body: string): Result<JsonObject, Problem> {
  try {
    const value: unknown = JSON.parse(body);
    return isJsonObject(value) ? ok(value) : err(invalidField('The body', 'a JSON object'));
  } catch {
    return err(invalidField('The body', 'valid JSON'));
  }
}

function parseMessage(value: unknown, index: number): Result<ChatMessage, Problem> {
  const field = `messages[${index}]`;
  if (!isJsonObject(value)) {
    return err(invalidField(field, 'an object'));
  }
  if (!isValidName(value.role)) {
    return err(invalidField(`${field}.role`, `a string of 1 to ${MAX_NAME_LENGTH} characters`));
  }
  if (typeof value.content !== 'string') {
    return err(invalidField(`${field}.content`, 'a string'));
  }
  return ok({ role: value.role, content: value.content });
}

function parseMessages(value: unknown): Result<readonly ChatMessage[], Problem> {
  if (!Array.isArray(value) || value.length === 0 || value.length > MAX_MESSAGES) {
    return err(invalidField('messages', `an array of 1 to ${MAX_MESSAGES} messages`));
  }
  const messages: ChatMessage[] = [];
  for (const [index, item] of value.entries()) {
    const message = parseMessage(item, index);
    if (message.isErr()) {
      return err(message.error);
    }
    messages.push(message.value);
  }
  return ok(messages);
}

function parseMaxTokens(fields: JsonObject): Result<number | undefined, Problem> {
  const value = fields.max_completion_tokens ?? fields.max_tokens ?? undefined;
  if (value === undefined) {
    return ok(undefined);
  }
  return typeof value === 'number' && Number.isSafeInteger(value) && value > 0
    ? ok(value)
    : err(invalidField('max_completion_tokens (or max_tokens)', 'a positive integer'));
}

function parseStream(fields: JsonObject): Result<boolean, Problem> {
  const value = fields.stream ?? false;
  return typeof value === 'boolean' ? ok(value) : err(invalidField('stream', 'true or false'));
}

/**
 * Parses the fields of an OpenAI-compatible chat completion that the router uses; other fields are ignored.
 */
export function parseChatCompletion(body: string): Result<ChatCompletionRequest, Problem> {
  return parseJson(body).andThen((fields) => {
    const model = fields.model;
    if (!isValidName(model)) {
      return err(invalidField('model', `a string of 1 to ${MAX_NAME_LENGTH} characters`));
    }
    return parseMessages(fields.messages).andThen((messages) =>
      parseMaxTokens(fields).andThen((maxOutputTokens) =>
        parseStream(fields).map((stream) => ({
          kind: CallerRequestKind.ChatCompletion as const,
          model,
          messages,
          maxOutputTokens,
          stream,
        })),
      ),
    );
  });
}
