import type { PromptPart } from '../types.ts';

/** A prompt part in an engine's memory. */
export interface CacheChange {
  readonly partId: string;
  /** Tokens of the part that are kept now; 0 if it was dropped. */
  readonly keptTokens: number;
}

/** What an engine keeps of prompt parts, by its own events; they arrive late, and a few never do. */
export class CacheView {
  private readonly keptTokens = new Map<string, number>();
  /** False until the first events were read, and after a restart of the engine. */
  known = false;

  reset(): void {
    this.keptTokens.clear();
    this.known = false;
  }

  apply(changes: readonly CacheChange[]): void {
    this.known = true;
    for (const { partId, keptTokens } of changes) {
      if (keptTokens > 0) {
        this.keptTokens.set(partId, keptTokens);
      } else {
        this.keptTokens.delete(partId);
      }
    }
  }

  /** Tokens of the leading parts that are kept: a part counts only if all before it are kept whole. */
  cachedTokens(parts: readonly PromptPart[]): number {
    let tokens = 0;
    for (const part of parts) {
      const kept = Math.min(this.keptTokens.get(part.partId) ?? 0, part.tokens);
      tokens += kept;
      if (kept < part.tokens) {
        break;
      }
    }
    return tokens;
  }
}
