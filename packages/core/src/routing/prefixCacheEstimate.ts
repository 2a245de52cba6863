/** Bounds the memory per engine; a block stands for 256 characters, so this covers about 1 MB of prompts. */
const MAX_REMEMBERED_PREFIXES = 4096;

/** The prefix hashes that an engine probably has cached; the least recently seen ones are forgotten first. */
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
      if (this.hashes.size <= MAX_REMEMBERED_PREFIXES) {
        return;
      }
      this.hashes.delete(oldest);
    }
  }

  /** How many leading blocks of a prompt are known. Events have gaps, so a later known block covers the earlier. */
  knownBlockCount(prefixHashes: readonly string[]): number {
    return prefixHashes.findLastIndex((hash) => this.hashes.has(hash)) + 1;
  }
}
