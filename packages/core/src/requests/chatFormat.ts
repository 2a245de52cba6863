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

function sseLine(value: unknown): string {
  return `data: ${JSON.stringify(value)}\n\n`;
}

/** One piece of text as a chat completion chunk. The first one states the role. */
export function formatTextChunk(run: RunningRequest, model: string, text: string, isFirst: boolean): string {
  const delta = isFirst ? { role: 'assistant', content: text } : { content: text };
  return sseLine({
    ...commonFields(run, model, 'chat.completion.chunk'),
    choices: [{ index: 0, delta, finish_reason: null }],
  });
}

/** The end of a streamed answer: the reason, the usage and the end mark. */
export function formatStreamEnd(run: RunningRequest, model: string, finish: EngineFinish): string {
  const last = sseLine({
    ...commonFields(run, model, 'chat.completion.chunk'),
    choices: [{ index: 0, delta: {}, finish_reason: finish.reason }],
    usage: usageOf(finish),
  });
  return `${last}data: [DONE]\n\n`;
}

/** The answer as one JSON body. */
export function formatCompletion(run: RunningRequest, model: string, finish: EngineFinish): string {
  const message = { role: 'assistant', content: run.log.texts.join('') };
  return JSON.stringify({
    ...commonFields(run, model, 'chat.completion'),
    choices: [{ index: 0, message, finish_reason: finish.reason }],
    usage: usageOf(finish),
  });
}
