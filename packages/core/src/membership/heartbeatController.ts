import type { CoreContext } from '../context.ts';
import type { Task } from '../scheduler/task.ts';
import { sleepUntil } from '../scheduler/task.ts';
import { sendCrossRegionDigests, sendRegionHeartbeats } from './sendHeartbeats.ts';

/** Periodically sends heartbeats within the region and digests to other regions. */
export function* heartbeatController(context: CoreContext): Task<void> {
  let nextDigestAtMs = context.clock.monotonicMs;
  let round = 0;
  for (;;) {
    const nowMs = context.clock.monotonicMs;
    sendRegionHeartbeats(context);
    if (nowMs >= nextDigestAtMs) {
      sendCrossRegionDigests(context, round);
      round += 1;
      nextDigestAtMs = nowMs + context.options.regionDigestIntervalMs;
    }
    yield* sleepUntil(nowMs + context.options.heartbeatIntervalMs);
  }
}
