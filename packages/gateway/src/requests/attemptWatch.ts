import type { Task } from '@pimentostall/core';
import type { GatewayContext } from '../context.ts';
import type { AttemptProgress } from './attemptProgress.ts';
import type { RequestEvent } from './ports.ts';
import { RequestEventKind, UpstreamFailure } from './ports.ts';
import type { ServedRequest } from './servedRequest.ts';
import { findEndDoubt } from './upstreamEnd.ts';

/**
 * Prepares for a response that only its connection delimits, once the request was sent: an upstream that is leaving is
 * watched from now on, since it may stop listening before its response begins, and another one once it leaves.
 */
export function prepareWatch({ placement, watchUpstream }: AttemptProgress): void {
  placement.upstream.sentAttempts.add(watchUpstream);
  if (!placement.upstream.isStaying) {
    watchUpstream();
  }
}

/** Watches the upstream if only the connection delimits its response, whose head has arrived. */
export function adjustWatch(progress: AttemptProgress, endsWithConnection: boolean): void {
  if (endsWithConnection) {
    progress.watchUpstream();
  } else {
    endWatch(progress);
  }
}

export function endWatch({ placement, watch, watchUpstream }: AttemptProgress): void {
  placement.upstream.sentAttempts.delete(watchUpstream);
  watch?.close();
}

/** Returns the event, or a failure in place of the end of a response that may not be complete. */
export function* confirmEnd(
  context: GatewayContext,
  { deadlineAtMs }: ServedRequest,
  { call, number, placement, sentAtMs, watch, watchUpstream }: AttemptProgress,
  event: RequestEvent,
): Task<RequestEvent> {
  if (event.kind !== RequestEventKind.UpstreamEnd || event.attempt !== number || !event.endsWithConnection) {
    return event;
  }
  placement.upstream.sentAttempts.delete(watchUpstream);
  const doubt = yield* findEndDoubt(context, {
    upstream: placement.upstream.entry,
    watch,
    sentAtMs: sentAtMs ?? -Infinity,
    deadlineAtMs,
    connection: call,
    otherDataAtMs: () =>
      placement.upstream.sentAttempts.size > 0 ? placement.upstream.lastDataAtMs : undefined,
  });
  context.metrics.count('pimentostall_close_delimited_responses_total', `end="${doubt ?? 'complete'}"`);
  return doubt === undefined
    ? event
    : {
        kind: RequestEventKind.UpstreamFailed,
        attempt: number,
        failure: UpstreamFailure.ConnectionClosed,
        detail: `response may be incomplete: ${doubt}`,
      };
}
