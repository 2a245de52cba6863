import type { AttemptRecord } from '@pimentostall/core';
import type { Placement } from '../placement/chooseUpstream.ts';
import type { ColdAttempt } from '../placement/coldUpstreams.ts';
import type { ByteCollector } from './byteCollector.ts';
import type { EventSplitter } from './eventSplitter.ts';
import type { HeldResponse } from './heldResponse.ts';
import type { UpstreamCall, UpstreamFailure, UpstreamResponseHead, UpstreamWatch } from './ports.ts';

export enum AttemptEnd {
  /** The complete response was passed on to the caller. */
  Answered = 'answered',
  /** No connection could be opened, so the request was not sent. */
  NotSent = 'not-sent',
  /** The upstream declares that it did not execute the request. */
  Refused = 'refused',
  /** The upstream responded with a server error, which was not passed on since the request can be retried. */
  ErrorResponse = 'failure-answer',
  /** The connection failed, was inactive for too long or delivered an invalid response. */
  Broken = 'broken',
  /** A part of the prompt was quarantined before the answer began. */
  Withdrawn = 'withdrawn',
  CallerDisconnected = 'caller-gone',
  DeadlineExceeded = 'deadline-passed',
  /** The router is about to exit. */
  RouterStopping = 'router-stopping',
}

export interface AttemptResult {
  readonly end: AttemptEnd;
  readonly detail: string;
  /** True if the retry budget already counts the next attempt. */
  readonly retryReserved?: boolean;
  /** How the call failed; only for an attempt that failed. */
  readonly failure?: UpstreamFailure;
}

/** The result of an attempt, with the phase that it reached. */
export interface AttemptOutcome extends AttemptResult {
  /** Monotonic time at which the request was sent; undefined if it was not. */
  readonly sentAtMs: number | undefined;
  /** Monotonic time at which the first event of this attempt arrived; undefined without one. */
  readonly firstEventAtMs: number | undefined;
}

/** Mutable state of an attempt in progress. */
export interface AttemptProgress {
  readonly number: number;
  readonly record: AttemptRecord;
  readonly placement: Placement;
  readonly call: UpstreamCall;
  /** Undefined for a route that does not stream. */
  readonly splitter: EventSplitter | undefined;
  head: UpstreamResponseHead | undefined;
  /** Length of the response body; undefined if the upstream did not announce it. */
  bodyBytes: number | undefined;
  /** Buffered part of a plain response, which is passed on to the caller once it is complete. */
  readonly held: ByteCollector;
  readonly heldMemory: HeldResponse;
  /** Bytes of a plain response that were received. */
  plainBytes: number;
  /** `plainBytes` when the response last made progress. */
  progressBytes: number;
  /** Monotonic time at which the request was sent or its response last made progress: a head or a whole event. */
  lastProgressAtMs: number;
  /** Monotonic time before which a silent upstream is not given up, since no retry was allowed. */
  retryNotBeforeMs: number;
  /** True until the first event or the end of the attempt, while `pendingPrefillTokens` of the upstream includes it. */
  prefillPending: boolean;
  sentAtMs: number | undefined;
  firstEventAtMs: number | undefined;
  /** True once the start of the answer has cleared the parts of the prompt. */
  startRecorded: boolean;
  /** Sends the request elsewhere if it still waits for a connection. */
  readonly withdrawUnsent: () => void;
  /** Starts `watch` if only the connection may show the end of the response. */
  readonly watchUpstream: () => void;
  watch: UpstreamWatch | undefined;
  /** Set if the upstream was cold when the attempt began. */
  readonly coldAttempt: ColdAttempt | undefined;
}

export function recordProgress(progress: AttemptProgress, nowMs: number): void {
  progress.lastProgressAtMs = nowMs;
  progress.progressBytes = progress.plainBytes;
  progress.placement.upstream.lastProgressAtMs = nowMs;
}

/** Bytes of an event or of a response without a length that are buffered until it is complete. */
export function incompleteBytes({ splitter, held }: AttemptProgress): number {
  return (splitter?.incompleteBytes ?? 0) + held.length;
}

/** Returns the number of prompt tokens that are no longer pending; 0 if the prefill had ended before. */
export function endPrefill(progress: AttemptProgress): number {
  if (!progress.prefillPending) {
    return 0;
  }
  progress.prefillPending = false;
  const { uncachedTokens, upstream } = progress.placement;
  upstream.pendingPrefillTokens -= uncachedTokens;
  return uncachedTokens;
}
