/** LRU cache of prompt blocks, identified by their hashes. */
export class PrefixCache {
  readonly #capacity: number;
  /** Maps iterate in insertion order, so the first key is the least recently used block. */
  readonly #blocks = new Map<string, true>();

  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  get size(): number {
    return this.#blocks.size;
  }

  /** Number of leading blocks that are cached. */
  cachedBlockCount(hashes: readonly string[]): number {
    const firstMissIndex = hashes.findIndex((hash) => !this.#blocks.has(hash));
    return firstMissIndex === -1 ? hashes.length : firstMissIndex;
  }

  /** Marks the blocks as most recently used and returns those that were not cached before. */
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
