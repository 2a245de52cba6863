const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** 32-bit FNV-1a with the MurmurHash3 finalizer, so that keys that differ only at the end spread evenly. */
export function hash32(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** Ranks candidates for a key by rendezvous hashing, so that a changed candidate set moves few keys. */
export function rendezvousOrder(key: string, candidates: readonly string[]): string[] {
  return candidates
    .map((candidate) => ({ candidate, weight: hash32(`${key}|${candidate}`) }))
    .sort((a, b) => b.weight - a.weight || a.candidate.localeCompare(b.candidate))
    .map(({ candidate }) => candidate);
}

/** Returns true if a candidate is among the first `count` of the rendezvous order of itself and the others. */
export function isAmongFirst(
  key: string,
  candidate: string,
  others: Iterable<string>,
  count: number,
): boolean {
  const weight = hash32(`${key}|${candidate}`);
  let before = 0;
  for (const other of others) {
    if (before >= count) {
      break;
    }
    const otherWeight = other === candidate ? -1 : hash32(`${key}|${other}`);
    if (otherWeight > weight || (otherWeight === weight && other.localeCompare(candidate) < 0)) {
      before += 1;
    }
  }
  return before < count;
}
