import type { Task } from '@pimentostall/core';
import { sleepUntil } from '@pimentostall/core';
import type { GatewayContext } from '../context.ts';

/** Period of the sweep while something is held, and while allocations wait for memory. */
const SWEEP_PERIOD_MS = 1_000;
const SHORTAGE_PERIOD_MS = 100;
/** Longest time that one sweep counts: in a stall of the process, callers cannot make progress. */
const MAX_COUNTED_PERIODS = 2;

/** Starts the sweep of the memory account unless it runs. It ends once nothing is held, so that it costs nothing at rest. */
export function requestSweep(context: GatewayContext): void {
  if (!context.board.memorySweepRuns) {
    context.board.memorySweepRuns = true;
    context.loop.spawn('memory sweep', sweepMemory(context));
  }
}

function* sweepMemory({ board, loop }: GatewayContext): Task<void> {
  const { memory } = board;
  try {
    while (memory.needsSweep) {
      const startedAtMs = loop.nowMs();
      const periodMs = memory.waiterCount > 0 ? SHORTAGE_PERIOD_MS : SWEEP_PERIOD_MS;
      yield* sleepUntil(loop.nearestTickMs(periodMs));
      memory.sweep(Math.min(loop.nowMs() - startedAtMs, MAX_COUNTED_PERIODS * periodMs));
    }
  } finally {
    board.memorySweepRuns = false;
  }
}
