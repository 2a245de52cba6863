import type { PromptPart, UpstreamEntry } from '../types.ts';
import { UpstreamState } from '../types.ts';
import { CacheView } from './cacheView.ts';
import type { PlacementOptions } from './options.ts';

/** Weight of the newest outcome in an upstream's failure rate. */
const FAILURE_WEIGHT = 0.15;
/** Parts remembered for one engine: more than its memory holds. */
const MAX_REMEMBERED_PARTS = 1_024;

/** What this router knows of an upstream from the register and from its own requests. */
export class UpstreamView {
  /** Requests of this router that it is working on. */
  inFlight = 0;
  /** Prompt tokens of this router's requests that have not had their first event. */
  pendingPrefillTokens = 0;
  /** Monotonic time of the last byte from any of its connections. */
  lastReceivedAtMs = 0;
  /** Monotonic time until which it gets no requests. */
  ejectedUntilMs = 0;
  /** Part of its recent requests that failed, 0 to 1. */
  failureRate = 0;
  readonly cache = new CacheView();
  private failuresInRow = 0;
  private readonly partUsedMs = new Map<string, number>();

  constructor(
    public entry: UpstreamEntry,
    private readonly options: PlacementOptions,
  ) {}

  isUsable(nowMs: number): boolean {
    return this.entry.state === UpstreamState.Ready && nowMs >= this.ejectedUntilMs;
  }

  recordSuccess(): void {
    this.failuresInRow = 0;
    this.failureRate *= 1 - FAILURE_WEIGHT;
  }

  recordFailure(nowMs: number): void {
    this.failuresInRow += 1;
    this.failureRate += (1 - this.failureRate) * FAILURE_WEIGHT;
    const beyond = this.failuresInRow - this.options.ejectionFailures;
    if (beyond >= 0) {
      this.eject(nowMs, Math.min(this.options.ejectionMs * 2 ** beyond, this.options.ejectionMaxMs));
    }
  }

  /** Leaves the upstream out for a time; used at once where a single sign is proof enough. */
  eject(nowMs: number, durationMs: number): void {
    this.ejectedUntilMs = Math.max(this.ejectedUntilMs, nowMs + durationMs);
  }

  recordSentParts(parts: readonly PromptPart[], nowMs: number): void {
    for (const { partId } of parts) {
      this.partUsedMs.delete(partId);
      this.partUsedMs.set(partId, nowMs);
    }
    for (const partId of this.partUsedMs.keys()) {
      if (this.partUsedMs.size <= MAX_REMEMBERED_PARTS) {
        break;
      }
      this.partUsedMs.delete(partId);
    }
  }

  /**
   * Tokens of the leading parts that the engine should hold: by its events, or because this router has sent them
   * here so recently that the events may not have arrived.
   */
  cachedTokens(parts: readonly PromptPart[], nowMs: number): number {
    const memoryMs = this.cache.known ? this.options.eventLagMs : this.options.partMemoryMs;
    return Math.max(this.cache.cachedTokens(parts), this.sentTokens(parts, nowMs - memoryMs));
  }

  private sentTokens(parts: readonly PromptPart[], sinceMs: number): number {
    let tokens = 0;
    for (const part of parts) {
      const usedMs = this.partUsedMs.get(part.partId);
      if (usedMs === undefined || usedMs < sinceMs) {
        break;
      }
      tokens += part.tokens;
    }
    return tokens;
  }
}
