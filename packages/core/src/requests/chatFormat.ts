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
  const head = isFirst ? FIRST_DELTA_HEAD : DELTA_HEAD;
  return `${chunkHead(run, model)}${head}${JSON.stringify(text)}${DELTA_TAIL}`;
}

const DELTA_HEAD = ',"choices":[{"index":0,"delta":{"content":';
const FIRST_DELTA_HEAD = ',"choices":[{"index":0,"delta":{"role":"assistant","content":';
const DELTA_TAIL = '},"finish_reason":null}]}\n\n';

interface ChunkHead {
  readonly model: string;
  readonly text: string;
}

/** The part that all chunks of a run share is built once: building it for each token took a tenth of the time. */
const chunkHeads = new WeakMap<RunningRequest, ChunkHead>();

function chunkHead(run: RunningRequest, model: string): string {
  const known = chunkHeads.get(run);
  if (known?.model === model) {
    return known.text;
  }
  const json = JSON.stringify(commonFields(run, model, 'chat.completion.chunk'));
  const text = `data: ${json.slice(0, -1)}`;
  chunkHeads.set(run, { model, text });
  return text;
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
