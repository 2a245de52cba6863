import type { UpstreamEntry } from '../types.ts';

/** Maximum number of incarnations that are remembered; several times the engines of a large site. */
const MAX_REMEMBERED = 2_048;

/**
 * Incarnations of upstreams that said in a response that they are leaving. Answers the load of a scale-in or a release
 * while this router is partitioned from the store, and of rows that still call such an upstream ready: only another
 * incarnation takes requests again.
 */
export class LeavingUpstreams {
  private readonly keys = new Set<string>();

  /** Returns false if the incarnation was known. */
  add(entry: UpstreamEntry): boolean {
    const key = incarnationKey(entry);
    if (this.keys.has(key)) {
      return false;
    }
    this.keys.add(key);
    for (const oldest of this.keys) {
      if (this.keys.size <= MAX_REMEMBERED) {
        break;
      }
      this.keys.delete(oldest);
    }
    return true;
  }

  /** Forgets an incarnation that a restart could not be told from. */
  delete(entry: UpstreamEntry): void {
    this.keys.delete(incarnationKey(entry));
  }

  has(entry: UpstreamEntry): boolean {
    return this.keys.has(incarnationKey(entry));
  }
}

/** Tells the incarnations of an upstream apart. */
export function incarnationKey({ upstreamId, address, startTimeMs }: UpstreamEntry): string {
  return `${upstreamId}|${address}|${startTimeMs ?? ''}`;
}
