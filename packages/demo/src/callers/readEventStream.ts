/** The end of a chat stream as a caller sees it. */
export type StreamEnd =
  | { readonly kind: 'done'; readonly text: string }
  | { readonly kind: 'problem'; readonly text: string; readonly problem: string }
  | { readonly kind: 'broken'; readonly text: string };

const DONE_MARK = '[DONE]';
const DATA_PREFIX = 'data: ';

/** Collects the text of an OpenAI-compatible event stream. Without the end mark the answer is not whole. */
export function readEventStream(body: string): StreamEnd {
  let text = '';
  let isError = false;
  for (const line of body.split('\n')) {
    if (line.startsWith('event: ')) {
      isError = line === 'event: error';
    } else if (line.startsWith(DATA_PREFIX)) {
      const data = line.slice(DATA_PREFIX.length);
      if (isError) {
        return { kind: 'problem', text, problem: data };
      }
      if (data === DONE_MARK) {
        return { kind: 'done', text };
      }
      text += textOf(data);
    }
  }
  return { kind: 'broken', text };
}

interface CompletionChunk {
  readonly choices?: readonly { readonly delta?: { readonly content?: string } }[];
}

/** A line that is cut off has no text; the missing end mark shows the loss. */
function textOf(data: string): string {
  try {
    const chunk = JSON.parse(data) as CompletionChunk;
    return chunk.choices?.[0]?.delta?.content ?? '';
  } catch {
    return '';
  }
}
