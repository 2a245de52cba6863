import type { PromptPart } from '../types.ts';

/** A prompt part in an engine's memory. */
export interface CacheChange {
  readonly partId: string;
  /** Tokens of the part that are kept now; 0 if it was dropped. */
  readonly cachedTokens: number;
}

/** What an engine keeps of prompt parts, by its own events; they arrive late, and a few never do. */
export class CacheView {
  private readonly cachedTokensByPart = new Map<string, number>();
  /** False until the first events were read, and after a restart of the engine. */
  known = false;

  reset(): void {
    this.cachedTokensByPart.clear();
    this.known = false;
  }

  apply(changes: readonly CacheChange[]): void {
    this.known = true;
    for (const { partId, cachedTokens } of changes) {
      if (cachedTokens > 0) {
        this.cachedTokensByPart.set(partId, cachedTokens);
      } else {
        this.cachedTokensByPart.delete(partId);
      }
    }
  }

  /** Tokens of the leading parts that are kept: a part counts only if all before it are kept whole. */
  cachedTokens(parts: readonly PromptPart[]): number {
    let tokens = 0;
    for (const part of parts) {
      const kept = Math.min(this.cachedTokensByPart.get(part.partId) ?? 0, part.tokens);
      tokens += kept;
      if (kept < part.tokens) {
        break;
      }
    }
    return tokens;
  }
}
