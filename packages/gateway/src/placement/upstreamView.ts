import { hash32 } from '@pimentostall/core';
import { RemoteLoad } from '../engineLoad/remoteLoad.ts';
import type { PromptPart, UpstreamEntry } from '../types.ts';
import { UpstreamState } from '../types.ts';
import { CacheView } from './cacheView.ts';
import { incarnationKey } from './leavingUpstreams.ts';
import type { PlacementOptions } from './options.ts';

/** Weight of the newest outcome in the moving average of an upstream's failure rate. */
const FAILURE_WEIGHT = 0.15;
/**
 * Fraction of the prefill rate at which the prompts of other routers are assumed to decrease between two sums: the engine
 * goes on, and other routers send more. In the simulation, 0.5 and 1 give the same latency, 0 a 6% longer mean.
 */
const REMOTE_DRAIN_FRACTION = 0.5;
/** Maximum number of sent parts tracked per engine: more than its cache holds. */
const MAX_TRACKED_PARTS = 1_024;

/** This router's view of an upstream, based on the registry and on its own requests. */
export class UpstreamView {
  /** Number of requests from this router that are in flight. */
  inFlight = 0;
  /** Uncached prompt tokens of the requests from this router that have not received their first event. */
  pendingPrefillTokens = 0;
  /** Names its incarnation in messages between routers. */
  readonly loadKey: number;
  /** The load that other routers have put on it. */
  readonly remoteLoad: RemoteLoad;
  /** Monotonic time at which a response of it last made progress, on any of its connections. */
  lastProgressAtMs = 0;
  /** Monotonic time at which a part of a response of any attempt last arrived. */
  lastDataAtMs = -Infinity;
  /** Monotonic time until which the upstream receives no requests. */
  ejectedUntilMs = 0;
  /** Moving average of the failure rate, from 0 to 1. */
  failureRate = 0;
  readonly cache = new CacheView();
  /** True once the upstream has said in a response that it is leaving. */
  leaving = false;
  /** Monotonic time from which it takes requests again, after it asked for time. */
  resumesAtMs = -Infinity;
  /** Monotonic time until which the upstream tolerates only few requests per second, since it has just started. */
  coldUntilMs = -Infinity;
  /** Monotonic time at which it last refused a connection or did not respond. */
  unresponsiveAtMs = -Infinity;
  /** Monotonic time until which it counts as cold since it may come back as a new process. */
  private unresponsiveUntilMs = -Infinity;
  /** Version of the newest row whose remaining warm-up time was counted. */
  entryVersion = -Infinity;
  /** Called when the upstream takes no more requests, for each attempt that waits for a connection to it. */
  readonly unsentAttempts = new Set<() => void>();
  /** Called when the upstream leaves, for each attempt whose response may end with it. */
  readonly sentAttempts = new Set<() => void>();
  /** Span of monotonic time in which it gets no requests, unless a response confirms that it stays. */
  private doubt: { readonly fromMs: number; readonly untilMs: number } | undefined;
  private resumeReported = true;
  private consecutiveFailures = 0;
  private failedAtMs = -Infinity;
  private readonly partSentAtMs = new Map<string, number>();

  constructor(
    public entry: UpstreamEntry,
    private readonly options: PlacementOptions,
  ) {
    this.loadKey = hash32(incarnationKey(entry));
    this.remoteLoad = new RemoteLoad(options.prefillTokensPerMs * REMOTE_DRAIN_FRACTION);
  }

  /** False if it is leaving according to the registry or to itself. */
  get isStaying(): boolean {
    return this.entry.state === UpstreamState.Ready && !this.leaving;
  }

  isUsable(nowMs: number): boolean {
    const isDoubted = this.doubt !== undefined && nowMs >= this.doubt.fromMs && nowMs < this.doubt.untilMs;
    return this.isStaying && !isDoubted && nowMs >= this.ejectedUntilMs && nowMs >= this.resumesAtMs;
  }

  /** Excludes it for a span of time, since the entry that registers it may be outdated. */
  doubtEntry(fromMs: number, untilMs: number): void {
    this.doubt = { fromMs, untilMs };
  }

  /** Records a response that does not say that it is leaving. */
  confirmEntry(): void {
    this.doubt = undefined;
  }

  recordSuccess(): void {
    this.consecutiveFailures = 0;
    this.failureRate *= 1 - FAILURE_WEIGHT;
  }

  /**
   * Returns the failure rate, which falls with the time since the last failure. Without that, an upstream with failures
   * would have no responses that show its recovery while another one costs less.
   *
   * @param memoryMs time after which it is 0
   */
  recentFailureRate(memoryMs: number, nowMs: number): number {
    return this.failureRate === 0
      ? 0
      : this.failureRate * Math.max(0, 1 - (nowMs - this.failedAtMs) / memoryMs);
  }

  recordFailure(nowMs: number): void {
    this.failedAtMs = nowMs;
    this.consecutiveFailures += 1;
    this.failureRate += (1 - this.failureRate) * FAILURE_WEIGHT;
    const excessFailures = this.consecutiveFailures - this.options.ejectionFailures;
    if (excessFailures >= 0) {
      this.eject(nowMs, Math.min(this.options.ejectionMs * 2 ** excessFailures, this.options.ejectionMaxMs));
    }
  }

  /** Postpones further requests; returns false if they are postponed until later already. */
  postpone(untilMs: number): boolean {
    if (untilMs <= this.resumesAtMs) {
      return false;
    }
    this.resumesAtMs = untilMs;
    this.resumeReported = false;
    return true;
  }

  /** Returns true once after the time for which the upstream asked. */
  takeResumed(nowMs: number): boolean {
    if (this.resumeReported || nowMs < this.resumesAtMs) {
      return false;
    }
    this.resumeReported = true;
    return true;
  }

  /** Records that the upstream is cold; of several times, the latest counts. */
  markCold(untilMs: number): void {
    this.coldUntilMs = Math.max(this.coldUntilMs, untilMs);
  }

  /** Records that it does not respond; it counts as cold until its return is recorded, or until a limit. */
  markUnresponsive(nowMs: number, limitMs: number): void {
    this.unresponsiveAtMs = nowMs;
    this.unresponsiveUntilMs = limitMs;
  }

  isUnresponsive(nowMs: number): boolean {
    return nowMs < this.unresponsiveUntilMs;
  }

  /** Records its return. */
  endUnresponsive(coldUntilMs: number): void {
    this.unresponsiveUntilMs = -Infinity;
    this.markCold(coldUntilMs);
  }

  /** Monotonic time from which it takes its full load again; -Infinity if it was never cold. */
  get coldEndMs(): number {
    return Math.max(this.coldUntilMs, this.unresponsiveUntilMs);
  }

  isCold(nowMs: number): boolean {
    return nowMs < this.coldEndMs;
  }

  /** Sends the attempts elsewhere that wait for a connection. */
  withdrawUnsentAttempts(): void {
    for (const withdraw of [...this.unsentAttempts]) {
      withdraw();
    }
  }

  /** Tells its attempts that the upstream is leaving or no longer registered. */
  reportLeaving(): void {
    this.withdrawUnsentAttempts();
    for (const watchUpstream of this.sentAttempts) {
      watchUpstream();
    }
  }

  /** Excludes the upstream for a time. Called directly where a single event is conclusive. */
  eject(nowMs: number, durationMs: number): void {
    this.ejectedUntilMs = Math.max(this.ejectedUntilMs, nowMs + durationMs);
  }

  recordSentParts(parts: readonly PromptPart[], nowMs: number): void {
    for (const { partId } of parts) {
      this.partSentAtMs.delete(partId);
      this.partSentAtMs.set(partId, nowMs);
    }
    for (const partId of this.partSentAtMs.keys()) {
      if (this.partSentAtMs.size <= MAX_TRACKED_PARTS) {
        break;
      }
      this.partSentAtMs.delete(partId);
    }
  }

  /**
   * Returns the length of the prefix that is probably cached: according to the events of the engine, or because this
   * router sent the parts so recently that the events may not have arrived yet.
   */
  cachedTokens(parts: readonly PromptPart[], nowMs: number): number {
    const maxAgeMs = this.cache.synced ? this.options.cacheEventLagLimitMs : this.options.cacheRetentionMs;
    return Math.max(this.cache.cachedTokens(parts), this.recentlySentTokens(parts, nowMs - maxAgeMs));
  }

  private recentlySentTokens(parts: readonly PromptPart[], sinceMs: number): number {
    let tokens = 0;
    for (const part of parts) {
      const sentAtMs = this.partSentAtMs.get(part.partId);
      if (sentAtMs === undefined || sentAtMs < sinceMs) {
        break;
      }
      tokens += part.tokens;
    }
    return tokens;
  }
}
