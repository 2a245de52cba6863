import type { UpstreamEntry } from '../types.ts';
import { UpstreamState } from '../types.ts';

/** How a registry entry relates to what was known of its id. */
export enum EntryOrder {
  Newest = 'newest',
  /** Its incarnation started before the newest one, or does not state its start as the newest one does. */
  OlderIncarnation = 'older-incarnation',
  /** The same incarnation wrote it before an entry that was seen already. */
  OlderHeartbeat = 'older-heartbeat',
  /** It calls an incarnation ready that has reported that it is draining, which is final. */
  ReadyAfterDraining = 'ready-after-draining',
  /** It registers a removed incarnation again, so soon that it may have been written before the removal. */
  EarlyReturn = 'early-return',
}

/** Time after its removal within which an entry may appear that was written before it: the store may be this late. */
const LATE_WRITE_MS = 6_000;
/** Maximum number of removed ids that are remembered; several times the upstreams of a large site. */
const MAX_REMOVED = 2_048;

interface KnownUpstream {
  readonly entry: UpstreamEntry;
  /** Monotonic time; undefined while it is registered. */
  readonly removedAtMs: number | undefined;
}

/**
 * The newest entry of each upstream id, also for a time after its removal. Answers the load of a store that performs
 * unconditional heartbeats late, while upstreams drain, leave, restart under their id, or lapse and come back.
 */
export class UpstreamHistory {
  private readonly registered = new Map<string, KnownUpstream>();
  /** In the order of the removals. */
  private readonly removed = new Map<string, KnownUpstream>();

  orderOf(entry: UpstreamEntry, nowMs: number): EntryOrder {
    const known = this.registered.get(entry.upstreamId) ?? this.removed.get(entry.upstreamId);
    return known === undefined ? EntryOrder.Newest : compare(entry, known, nowMs);
  }

  /** Monotonic time at which an upstream was removed; undefined if it is registered or not remembered. */
  removedAtMs(upstreamId: string): number | undefined {
    return this.removed.get(upstreamId)?.removedAtMs;
  }

  /** Records an entry as the newest of its id. */
  record(entry: UpstreamEntry): void {
    this.removed.delete(entry.upstreamId);
    this.registered.set(entry.upstreamId, { entry, removedAtMs: undefined });
  }

  recordRemoval(upstreamId: string, nowMs: number): void {
    const known = this.registered.get(upstreamId);
    if (known === undefined) {
      return;
    }
    this.registered.delete(upstreamId);
    this.removed.set(upstreamId, { ...known, removedAtMs: nowMs });
    for (const oldestId of this.removed.keys()) {
      if (this.removed.size <= MAX_REMOVED) {
        break;
      }
      this.removed.delete(oldestId);
    }
  }
}

/** Orders an entry against the newest known one. Without a start time, only a removal tells a restart from an old entry. */
function compare(
  entry: UpstreamEntry,
  { entry: known, removedAtMs }: KnownUpstream,
  nowMs: number,
): EntryOrder {
  const wasRemoved = removedAtMs !== undefined;
  const statesStart = known.startTimeMs !== undefined;
  if (statesStart && (entry.startTimeMs === undefined || entry.startTimeMs < known.startTimeMs)) {
    return EntryOrder.OlderIncarnation;
  }
  if (entry.startTimeMs !== known.startTimeMs) {
    return EntryOrder.Newest;
  }
  const isComparable = statesStart || !wasRemoved;
  if (isComparable && known.state === UpstreamState.Draining && entry.state === UpstreamState.Ready) {
    return EntryOrder.ReadyAfterDraining;
  }
  if (wasRemoved && nowMs - removedAtMs < LATE_WRITE_MS) {
    return EntryOrder.EarlyReturn;
  }
  return isComparable && (entry.sequence ?? Infinity) < (known.sequence ?? -Infinity)
    ? EntryOrder.OlderHeartbeat
    : EntryOrder.Newest;
}
