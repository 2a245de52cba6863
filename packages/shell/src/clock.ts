import type { ClockReading } from '@pimentostall/core';

/** Reads the monotonic and the wall clock back to back. */
export function readSystemClock(): ClockReading {
  return { monotonicMs: performance.now(), wallMs: Date.now() };
}

/** True if either clock advanced by more than the limit: the process was paused (docs/design.md, 5.6). */
export function wasPaused(from: ClockReading, to: ClockReading, pauseLimitMs: number): boolean {
  return to.monotonicMs - from.monotonicMs > pauseLimitMs || to.wallMs - from.wallMs > pauseLimitMs;
}
