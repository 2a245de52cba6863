import type { ServerResponse } from 'node:http';
import type { Sequence } from './sequence.ts';
import { isOpen, SequenceState } from './sequence.ts';

/** One connection that reads a stream from an index. */
export class StreamReader {
  readonly requestId: string;
  readonly #response: ServerResponse;
  #nextIndex: number;
  #blocked = false;

  constructor(requestId: string, fromIndex: number, response: ServerResponse) {
    this.requestId = requestId;
    this.#nextIndex = fromIndex;
    this.#response = response;
    response.on('drain', () => {
      this.#blocked = false;
    });
    response.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-store' });
    response.flushHeaders();
  }

  /** Writes the chunks that are new to this reader; returns true once the stream has ended for it. */
  pump(sequence: Readonly<Sequence> | undefined): boolean {
    if (sequence === undefined) {
      return this.#fail('the stream is gone');
    }
    while (!this.#blocked && this.#nextIndex < sequence.chunks.length) {
      const chunk = sequence.chunks[this.#nextIndex];
      this.#blocked = !this.#response.write(`data: ${JSON.stringify(chunk)}\n\n`);
      this.#nextIndex += 1;
    }
    if (isOpen(sequence) || this.#nextIndex < sequence.chunks.length) {
      return false;
    }
    if (sequence.state === SequenceState.Cancelled) {
      return this.#fail('the stream was cancelled');
    }
    this.#response.end();
    return true;
  }

  destroy(): void {
    this.#response.destroy();
  }

  #fail(detail: string): true {
    this.#response.end(`event: error\ndata: ${JSON.stringify({ error: detail })}\n\n`);
    return true;
  }
}
