import type { EngineChunk, EngineFinish } from '../types/requests.ts';

export enum ChunkDecision {
  Relay = 'relay',
  Duplicate = 'duplicate',
  Gap = 'gap',
}

/** The contiguous part of an engine's answer received so far. Callers that join later get it replayed. */
export class StreamLog {
  readonly texts: string[] = [];
  finish: EngineFinish | undefined;

  get nextIndex(): number {
    return this.texts.length;
  }

  /** Appends the chunk if it is the next one. Otherwise reports it as a duplicate, or as a gap in the indexes. */
  accept(chunk: EngineChunk): ChunkDecision {
    if (chunk.index < this.nextIndex || this.finish !== undefined) {
      return ChunkDecision.Duplicate;
    }
    if (chunk.index > this.nextIndex) {
      return ChunkDecision.Gap;
    }
    this.texts.push(chunk.text);
    this.finish = chunk.finish;
    return ChunkDecision.Relay;
  }
}
