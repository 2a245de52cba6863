import type { EngineChunk, EngineFinish } from '../types/requests.ts';

export enum ChunkDecision {
  Relay = 'relay',
  Duplicate = 'duplicate',
  Gap = 'gap',
}

/** The part of an engine's answer that was received without a gap. Later callers of the request replay it. */
export class StreamLog {
  readonly texts: string[] = [];
  finish: EngineFinish | undefined;

  get nextIndex(): number {
    return this.texts.length;
  }

  /** Takes the chunk if it is the next one; an engine that sends indexes again or leaves some out is noticed. */
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
