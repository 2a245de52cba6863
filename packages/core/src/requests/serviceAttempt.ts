import type { CoreContext } from '../context.ts';
import { withChannel } from '../context.ts';
import type { Reservation } from '../money/types.ts';
import {
  ejectUpstream,
  recordUpstreamFailure,
  recordUpstreamSuccess,
  getOrCreateUpstreamInfo,
} from '../routing/upstreams.ts';
import { Channel } from '../scheduler/channel.ts';
import type { Task } from '../scheduler/task.ts';
import { receive } from '../scheduler/task.ts';
import { EffectKind } from '../types/effects.ts';
import type { AttemptEvent } from '../types/events.ts';
import { EventKind } from '../types/events.ts';
import type { ServiceCallRequest } from '../types/requests.ts';
import { UpstreamRequestKind } from '../types/requests.ts';
import type { CallOutcome } from './claim.ts';
import { mayDispatch } from './dispatchGate.ts';
import type { RunningRequest } from './types.ts';
import type { AttemptRecord } from './verdict.ts';
import { AttemptState } from './verdict.ts';

export type ServiceAttemptEnd =
  | { readonly kind: ServiceAttemptEndKind.Answered; readonly outcome: CallOutcome }
  | { readonly kind: ServiceAttemptEndKind.NotSent }
  | { readonly kind: ServiceAttemptEndKind.Lost }
  | { readonly kind: ServiceAttemptEndKind.DeadlineExceeded }
  | { readonly kind: ServiceAttemptEndKind.Paused };

const MIN_SERVER_ERROR_STATUS = 500;

/** Sends a call to one address of a plain service and waits for the response. */
export function* runServiceAttempt(
  context: CoreContext,
  run: RunningRequest,
  call: ServiceCallRequest,
  address: string,
  reservation: Reservation,
): Task<ServiceAttemptEnd> {
  if (!mayDispatch(context, reservation)) {
    return { kind: ServiceAttemptEndKind.Paused };
  }
  if (context.clock.monotonicMs >= run.deadlineMs) {
    return { kind: ServiceAttemptEndKind.DeadlineExceeded };
  }
  const { method, path, body, contentType } = call;
  const record: AttemptRecord = { attemptId: context.newId(), foreign: false, state: AttemptState.Sent };
  run.attempts.push(record);
  const kind = UpstreamRequestKind.ServiceCall;
  context.emit({
    kind: EffectKind.UpstreamOpen,
    attemptId: record.attemptId,
    address,
    request: { kind, requestId: run.scopedRequestId, method, path, body, contentType },
    exchangeId: run.callers.keys().next().value,
    deadlineMs: run.deadlineMs,
  });
  const info = getOrCreateUpstreamInfo(context, address);
  info.ownInFlightCount += 1;
  const channel = new Channel<AttemptEvent>();
  const { attempts } = context.board.replyChannels;
  try {
    return yield* withChannel(
      attempts,
      record.attemptId,
      channel,
      awaitResponse(context, run, address, record, channel),
    );
  } finally {
    info.ownInFlightCount -= 1;
  }
}

function* awaitResponse(
  context: CoreContext,
  run: RunningRequest,
  address: string,
  record: AttemptRecord,
  channel: Channel<AttemptEvent>,
): Task<ServiceAttemptEnd> {
  const info = getOrCreateUpstreamInfo(context, address);
  for (;;) {
    const event = yield* receive(channel, run.deadlineMs);
    if (event === undefined) {
      recordUpstreamFailure(context, info);
      return { kind: ServiceAttemptEndKind.DeadlineExceeded };
    }
    switch (event.kind) {
      case EventKind.UpstreamStarted:
      case EventKind.UpstreamChunk:
        break;
      case EventKind.UpstreamEnded: {
        const { status, body, contentType } = event;
        record.state = AttemptState.Ran;
        if (status >= MIN_SERVER_ERROR_STATUS) {
          recordUpstreamFailure(context, info);
        } else {
          recordUpstreamSuccess(info);
        }
        return {
          kind: ServiceAttemptEndKind.Answered,
          outcome: { status, body, contentType: contentType ?? null },
        };
      }
      case EventKind.UpstreamFailed:
        if (event.mayHaveReachedUpstream) {
          recordUpstreamFailure(context, info);
          return { kind: ServiceAttemptEndKind.Lost };
        }
        record.state = AttemptState.NotSent;
        ejectUpstream(context, info);
        return { kind: ServiceAttemptEndKind.NotSent };
    }
  }
}

/** How an attempt on a plain service ended. */
export enum ServiceAttemptEndKind {
  Answered = 'answered',
  /** No byte was sent. */
  NotSent = 'notSent',
  /** The connection failed after bytes may have reached the service. */
  Lost = 'lost',
  DeadlineExceeded = 'deadlineExceeded',
  /** Dispatch is not allowed because the router was paused. */
  Paused = 'paused',
}
