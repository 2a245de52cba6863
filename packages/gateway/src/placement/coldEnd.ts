import type { UpstreamEntry } from '../types.ts';

/** How an entry of the register reached this router. */
export enum EntryArrival {
  /** Read at the start of the router, which knows nothing of restarts before it. */
  FirstReading = 'first-reading',
  /** Of an incarnation that was not registered before, or whose entry had lapsed. */
  Appearance = 'appearance',
  /** Of an incarnation that is registered. */
  Heartbeat = 'heartbeat',
}

export interface ColdEndInput {
  readonly entry: UpstreamEntry;
  readonly arrival: EntryArrival;
  /** Time for which an engine of the service is cold after its start; 0 if that is not known. */
  readonly warmupMs: number;
  /** Monotonic time of the reading. */
  readonly nowMs: number;
  /** Unix time of the reading. */
  readonly wallNowMs: number;
}

/** The clocks of two VMs may differ by this much. */
const CLOCK_ERROR_MS = 5_000;
/** Longest warm-up time that an entry may state: many times that of an engine. */
const MAX_WARMUP_LEFT_MS = 60_000;

/**
 * Returns the monotonic time until which an entry shows its engine to be cold; -Infinity if it does not. Answers the
 * load of engines that start while traffic flows and whose entries arrive late: the time counts from the reading. The
 * start time that an entry states only shortens it if no error of the clocks can explain it; at the first reading, when
 * each engine would otherwise count as started, it only lengthens it.
 */
export function coldEndMs({ entry, arrival, warmupMs, nowMs, wallNowMs }: ColdEndInput): number {
  const statedMs = Math.min(entry.warmupLeftMs, MAX_WARMUP_LEFT_MS);
  const ageMs = entry.startTimeMs === undefined ? undefined : wallNowMs - entry.startTimeMs;
  const leftMs = Math.max(statedMs, leftOfStartMs(arrival, ageMs, warmupMs));
  return leftMs > 0 ? nowMs + leftMs : -Infinity;
}

function leftOfStartMs(arrival: EntryArrival, ageMs: number | undefined, warmupMs: number): number {
  switch (arrival) {
    case EntryArrival.Heartbeat:
      return 0;
    case EntryArrival.FirstReading:
      return ageMs === undefined ? 0 : Math.max(0, warmupMs - Math.max(0, ageMs));
    case EntryArrival.Appearance:
      return ageMs !== undefined && ageMs >= warmupMs + CLOCK_ERROR_MS ? 0 : warmupMs;
  }
}
