/** How a chat stream ended. */
export enum StreamEndKind {
  Done = 'done',
  Problem = 'problem',
  Broken = 'broken',
}

export type StreamEnd =
  | { readonly kind: StreamEndKind.Done; readonly text: string }
  | { readonly kind: StreamEndKind.Problem; readonly text: string; readonly problem: string }
  | { readonly kind: StreamEndKind.Broken; readonly text: string };

const DONE_MARKER = '[DONE]';
const DATA_PREFIX = 'data: ';

/** Collects the text of an OpenAI-compatible event stream. Without the `[DONE]` marker the stream is incomplete. */
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
      if (data === DONE_MARKER) {
        return { kind: StreamEndKind.Done, text };
      }
      text += parseChunkText(data);
    }
  }
  return { kind: StreamEndKind.Broken, text };
}

interface CompletionChunk {
  readonly choices?: readonly { readonly delta?: { readonly content?: string } }[];
}

/** Returns no text for a truncated line; the missing `[DONE]` marker then shows that the stream is incomplete. */
function parseChunkText(data: string): string {
  try {
    const chunk = JSON.parse(data) as CompletionChunk;
    return chunk.choices?.[0]?.delta?.content ?? '';
  } catch {
    return '';
  }
}
