import type { ServerResponse } from 'node:http';
import type { Sequence } from './sequence.ts';
import { isActive, SequenceState } from './sequence.ts';

/** A connection that receives a stream from a given chunk index on. */
export class StreamReader {
  readonly requestId: string;
  readonly #response: ServerResponse;
  #nextIndex: number;
  #awaitingDrain = false;

  constructor(requestId: string, fromIndex: number, response: ServerResponse) {
    this.requestId = requestId;
    this.#nextIndex = fromIndex;
    this.#response = response;
    response.on('drain', () => {
      this.#awaitingDrain = false;
    });
    response.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-store' });
    response.flushHeaders();
  }

  /** Writes all chunks not yet sent on this connection; returns true once the response has ended. */
  writeNewChunks(sequence: Readonly<Sequence> | undefined): boolean {
    if (sequence === undefined) {
      return this.#endWithError('the stream no longer exists');
    }
    while (!this.#awaitingDrain && this.#nextIndex < sequence.chunks.length) {
      const chunk = sequence.chunks[this.#nextIndex];
      this.#awaitingDrain = !this.#response.write(`data: ${JSON.stringify(chunk)}\n\n`);
      this.#nextIndex += 1;
    }
    if (isActive(sequence) || this.#nextIndex < sequence.chunks.length) {
      return false;
    }
    if (sequence.state === SequenceState.Cancelled) {
      return this.#endWithError('the stream was cancelled');
    }
    this.#response.end();
    return true;
  }

  destroy(): void {
    this.#response.destroy();
  }

  #endWithError(detail: string): true {
    this.#response.end(`event: error\ndata: ${JSON.stringify({ error: detail })}\n\n`);
    return true;
  }
}
