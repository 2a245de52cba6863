/** How a chat stream ended for its caller. */
export enum StreamEndKind {
  Done = 'done',
  Problem = 'problem',
  Broken = 'broken',
}

/** The end of a chat stream as a caller sees it. */
export type StreamEnd =
  | { readonly kind: StreamEndKind.Done; readonly text: string }
  | { readonly kind: StreamEndKind.Problem; readonly text: string; readonly problem: string }
  | { readonly kind: StreamEndKind.Broken; readonly text: string };

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
        return { kind: StreamEndKind.Problem, text, problem: data };
      }
      if (data === DONE_MARK) {
        return { kind: StreamEndKind.Done, text };
      }
      text += textOf(data);
    }
  }
  return { kind: StreamEndKind.Broken, text };
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
