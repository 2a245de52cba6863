/** Prompt blocks in limited memory; the block that was used least recently is evicted first. */
export class PrefixCache {
  readonly #capacity: number;
  /** A map iterates in insertion order, so its first key is the least recently used block. */
  readonly #blocks = new Map<string, true>();

  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  get size(): number {
    return this.#blocks.size;
  }

  /** Number of leading blocks that are cached. */
  cachedBlockCount(hashes: readonly string[]): number {
    const firstMissing = hashes.findIndex((hash) => !this.#blocks.has(hash));
    return firstMissing === -1 ? hashes.length : firstMissing;
  }

  /** Marks the blocks as just used and returns those that were not cached before. */
  insert(hashes: readonly string[]): string[] {
    const added = hashes.filter((hash) => !this.#blocks.has(hash));
    for (const hash of hashes) {
      this.#blocks.delete(hash);
      this.#blocks.set(hash, true);
    }
    for (const hash of [...this.#blocks.keys()].slice(0, Math.max(0, this.size - this.#capacity))) {
      this.#blocks.delete(hash);
    }
    return added;
  }
}
