import type { ClockReading } from '@pimentostall/core';

/** Reads both clocks one directly after the other. */
export function readSystemClock(): ClockReading {
  return { monotonicMs: performance.now(), wallMs: Date.now() };
}

/** True if either clock moved by more than the limit: the process was paused in between (design, 5.6). */
export function wasPaused(from: ClockReading, to: ClockReading, pauseLimitMs: number): boolean {
  return to.monotonicMs - from.monotonicMs > pauseLimitMs || to.wallMs - from.wallMs > pauseLimitMs;
}
