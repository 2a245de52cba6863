/** Bounds the memory per engine. A block covers 256 characters, so this covers about 1 MB of prompts. */
const MAX_TRACKED_PREFIXES = 4096;

/** An LRU set of the prefix hashes that an engine probably has cached. */
export class PrefixCacheEstimate {
  private readonly hashes = new Set<string>();

  get size(): number {
    return this.hashes.size;
  }

  add(hashes: readonly string[]): void {
    for (const hash of hashes) {
      this.hashes.delete(hash);
      this.hashes.add(hash);
    }
    for (const oldest of this.hashes) {
      if (this.hashes.size <= MAX_TRACKED_PREFIXES) {
        return;
      }
      this.hashes.delete(oldest);
    }
  }

  /**
   * Counts the leading blocks of a prompt up to the last one known to be cached. Cache events have gaps, so a
   * cached block implies that the preceding blocks are cached too.
   */
  cachedBlockCount(prefixHashes: readonly string[]): number {
    return prefixHashes.findLastIndex((hash) => this.hashes.has(hash)) + 1;
  }
}
