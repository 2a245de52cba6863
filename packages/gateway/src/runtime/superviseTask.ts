import type { Task } from '@pimentostall/core';
import { sleepUntil } from '@pimentostall/core';
import type { GatewayContext } from '../context.ts';
import { LogLevel } from '../observability/log.ts';

/** Pause before a task that failed is started again, so that a lasting cause does not use up the processor. */
const RESTART_DELAY_MS = 200;

export type SupervisorContext = Pick<GatewayContext, 'log'> & {
  readonly board: Pick<GatewayContext['board'], 'stopped'>;
  readonly loop: Pick<GatewayContext['loop'], 'nowMs'>;
};

/**
 * Runs a task that must last as long as the router, and starts it again after an unexpected error. Without it, one
 * input that a follower cannot handle would end its duty while the router seems to be well.
 */
export function* superviseTask(
  { board, log, loop }: SupervisorContext,
  name: string,
  createTask: () => Task<void>,
): Task<void> {
  while (!board.stopped) {
    try {
      yield* createTask();
      return;
    } catch (cause) {
      log(LogLevel.Error, 'long-running task failed; starting it again', {
        task: name,
        cause: cause instanceof Error ? cause.stack : String(cause),
      });
    }
    yield* sleepUntil(loop.nowMs() + RESTART_DELAY_MS);
  }
}
