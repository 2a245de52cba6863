import type { PromptPart } from '../types.ts';

/** Change of one prompt part in the KV cache of an engine. */
export interface CacheChange {
  readonly partId: string;
  /** Tokens of the part that are cached now; 0 if it was evicted. */
  readonly cachedTokens: number;
}

/** Prompt parts in the KV cache of an engine, according to its events. Events arrive late, and a few are lost. */
export class CacheView {
  private readonly cachedTokensByPart = new Map<string, number>();
  /** False until the first events have been read, and again after a restart of the engine. */
  synced = false;

  reset(): void {
    this.cachedTokensByPart.clear();
    this.synced = false;
  }

  apply(changes: readonly CacheChange[]): void {
    this.synced = true;
    for (const { partId, cachedTokens } of changes) {
      if (cachedTokens > 0) {
        this.cachedTokensByPart.set(partId, cachedTokens);
      } else {
        this.cachedTokensByPart.delete(partId);
      }
    }
  }

  /** Returns the length of the cached prefix: a part only counts if all parts before it are completely cached. */
  cachedTokens(parts: readonly PromptPart[]): number {
    let tokens = 0;
    for (const part of parts) {
      const cachedPartTokens = Math.min(this.cachedTokensByPart.get(part.partId) ?? 0, part.tokens);
      tokens += cachedPartTokens;
      if (cachedPartTokens < part.tokens) {
        break;
      }
    }
    return tokens;
  }
}
