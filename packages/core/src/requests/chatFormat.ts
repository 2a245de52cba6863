import type { EngineFinish } from '../types/requests.ts';
import type { RunningRequest } from './types.ts';

function usageOf(finish: EngineFinish): Readonly<Record<string, unknown>> {
  return {
    prompt_tokens: finish.promptTokens,
    completion_tokens: finish.outputTokens,
    total_tokens: finish.promptTokens + finish.outputTokens,
    prompt_tokens_details: { cached_tokens: finish.cachedPromptTokens },
  };
}

function commonFields(run: RunningRequest, model: string, object: string): Readonly<Record<string, unknown>> {
  return { id: `chatcmpl-${run.requestId}`, object, created: run.createdSeconds, model };
}

function sseEvent(value: unknown): string {
  return `data: ${JSON.stringify(value)}\n\n`;
}

/** Formats a piece of text as a chat completion chunk. The first chunk includes the role. */
export function formatTextChunk(run: RunningRequest, model: string, text: string, isFirst: boolean): string {
  const deltaPrefix = isFirst ? FIRST_DELTA_PREFIX : DELTA_PREFIX;
  return `${chunkPrefix(run, model)}${deltaPrefix}${JSON.stringify(text)}${DELTA_SUFFIX}`;
}

const DELTA_PREFIX = ',"choices":[{"index":0,"delta":{"content":';
const FIRST_DELTA_PREFIX = ',"choices":[{"index":0,"delta":{"role":"assistant","content":';
const DELTA_SUFFIX = '},"finish_reason":null}]}\n\n';

interface ChunkPrefix {
  readonly model: string;
  readonly text: string;
}

/** Caches the prefix that all chunks of a request share. Serialising it for each token took a tenth of the time. */
const chunkPrefixes = new WeakMap<RunningRequest, ChunkPrefix>();

function chunkPrefix(run: RunningRequest, model: string): string {
  const known = chunkPrefixes.get(run);
  if (known?.model === model) {
    return known.text;
  }
  const json = JSON.stringify(commonFields(run, model, 'chat.completion.chunk'));
  const text = `data: ${json.slice(0, -1)}`;
  chunkPrefixes.set(run, { model, text });
  return text;
}

/** Formats the end of a streamed answer: the finish reason, the usage and the `[DONE]` terminator. */
export function formatStreamEnd(run: RunningRequest, model: string, finish: EngineFinish): string {
  const last = sseEvent({
    ...commonFields(run, model, 'chat.completion.chunk'),
    choices: [{ index: 0, delta: {}, finish_reason: finish.reason }],
    usage: usageOf(finish),
  });
  return `${last}data: [DONE]\n\n`;
}

/** Formats the whole answer as a JSON body. */
export function formatCompletion(run: RunningRequest, model: string, finish: EngineFinish): string {
  const message = { role: 'assistant', content: run.log.texts.join('') };
  return JSON.stringify({
    ...commonFields(run, model, 'chat.completion'),
    choices: [{ index: 0, message, finish_reason: finish.reason }],
    usage: usageOf(finish),
  });
}
