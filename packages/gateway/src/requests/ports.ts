import type { Channel } from '@pimentostall/core';
import type { PromptPart, TokenUsage, UpstreamEntry } from '../types.ts';

/** Metadata of a caller's request, as decoded by the wire codec. */
export interface RequestHead {
  /** Unique id of this received request; undefined if the caller sent none. */
  readonly requestId: string | undefined;
  readonly method: string;
  /** Request target as received: path and query. */
  readonly target: string;
  readonly host: string;
  /** Time for which the caller waits, from the arrival of the request. */
  readonly deadlineMs: number | undefined;
  readonly key: string | undefined;
  readonly usage: TokenUsage | undefined;
  readonly promptParts: readonly PromptPart[];
  /** Id of the last event that the caller received of a stream that it resumes. */
  readonly lastEventId: string | undefined;
  /** Headers to forward to the upstream, as alternating names and values. */
  readonly forwardHeaders: readonly string[];
}

/** One attempt of a request at one upstream. */
export interface UpstreamRequest {
  readonly head: RequestHead;
  readonly body: Buffer;
  readonly remainingMs: number;
  readonly organisationName: string | undefined;
  /** From 0, the highest, to 9; undefined for the upstream's default. */
  readonly priority: number | undefined;
  readonly lastEventId: string | undefined;
}

export enum RetryAfterKind {
  Absent = 'absent',
  Delay = 'delay',
  Invalid = 'invalid',
}

/** For how long an upstream that turned a request away wants no more of them. */
export type UpstreamRetryAfter =
  | { readonly kind: RetryAfterKind.Absent }
  | {
      readonly kind: RetryAfterKind.Delay;
      readonly delayMs: number;
      /** True if the upstream stated a longer time than is accepted. */
      readonly isBounded: boolean;
    }
  | { readonly kind: RetryAfterKind.Invalid; readonly value: string };

/** Metadata of an upstream's response, as decoded by the wire codec. */
export interface UpstreamResponseHead {
  readonly status: number;
  /** The upstream declares that it did not execute the request. */
  readonly notExecuted: boolean;
  /** The address now belongs to another upstream. */
  readonly wrongUpstream: boolean;
  /** The response refers to the request that was sent. */
  readonly matchesRequest: boolean;
  /** The response refers to another request: a copy that arrives late, on a connection that is in use again. */
  readonly belongsToOtherRequest: boolean;
  /** The upstream is leaving: it serves what it has and wants no more requests. */
  readonly upstreamLeaving: boolean;
  /** Only present in a response with which the upstream turns the request away. */
  readonly retryAfter: UpstreamRetryAfter;
  /** The response has the upstream's signature. */
  readonly signed: boolean;
  /** Headers to forward to the caller, as alternating names and values. */
  readonly forwardHeaders: readonly string[];
}

/** How a call to an upstream failed. */
export enum UpstreamFailure {
  /** The upstream does not accept connections; nothing listens at its address. */
  ConnectionRefused = 'connection-refused',
  /** The connection was closed or reset before the response was complete. */
  ConnectionClosed = 'connection-closed',
  Other = 'other',
}

export enum RequestEventKind {
  /** The request is about to be written to a connection. */
  UpstreamSent = 'upstream-sent',
  UpstreamHead = 'upstream-head',
  UpstreamData = 'upstream-data',
  UpstreamEnd = 'upstream-end',
  UpstreamFailed = 'upstream-failed',
  /** The upstream takes no more requests; one that was not sent yet must go elsewhere. */
  UpstreamUnavailable = 'upstream-unavailable',
  /** A part of the prompt crashes engines; an attempt whose answer has not begun must end. */
  PartQuarantined = 'part-quarantined',
  CallerDisconnected = 'caller-gone',
  /** The router is about to exit; started responses end only once the board says so. */
  RouterStopping = 'router-stopping',
}

/** `attempt` is the number of the attempt, so that late events of an abandoned attempt can be ignored. */
export type RequestEvent =
  | { readonly kind: RequestEventKind.UpstreamSent; readonly attempt: number }
  | {
      readonly kind: RequestEventKind.UpstreamHead;
      readonly attempt: number;
      readonly head: UpstreamResponseHead;
      /** Length of the body that the head announces; undefined if its end is only known once it is received. */
      readonly bodyBytes: number | undefined;
      /** True for a response that has neither a length nor chunks, so that only its connection shows the end. */
      readonly endsWithConnection: boolean;
    }
  | { readonly kind: RequestEventKind.UpstreamData; readonly attempt: number; readonly data: Buffer }
  | {
      readonly kind: RequestEventKind.UpstreamEnd;
      readonly attempt: number;
      readonly endsWithConnection: boolean;
    }
  | {
      readonly kind: RequestEventKind.UpstreamFailed;
      readonly attempt: number;
      readonly failure: UpstreamFailure;
      readonly detail: string;
    }
  | { readonly kind: RequestEventKind.UpstreamUnavailable; readonly attempt: number }
  | { readonly kind: RequestEventKind.PartQuarantined }
  | { readonly kind: RequestEventKind.CallerDisconnected }
  | { readonly kind: RequestEventKind.RouterStopping };

/** Handle of a request that was dispatched to an upstream. */
export interface UpstreamCall {
  /** Closes the connection, so that the upstream stops processing the request. */
  cancel(): void;
  /** Reads and discards the rest of the response, so that the connection can be reused. */
  discard(): void;
  pause(): void;
  resume(): void;
  /**
   * Tells whether the upstream still holds the connection of a response that it has ended without a length, for a time
   * after that end; a process that has ended does not. False also for a connection that is closed for both directions.
   */
  staysHalfOpen(durationMs: number): Promise<boolean>;
  /** Lets the connection of such a response end, which is held open after it. */
  release(): void;
}

/** What a connection without a request shows about the process of an upstream. */
export enum WatchState {
  /** It is not open: not yet, refused, or closed some time ago. */
  Unavailable = 'unavailable',
  /** The process that accepted it is running. */
  Open = 'open',
  /** The upstream has just closed it. */
  JustClosed = 'just-closed',
}

/** Watches the process of an upstream while it responds. */
export interface UpstreamWatch {
  readonly state: WatchState;
  close(): void;
}

export interface UpstreamPort {
  open(
    upstream: UpstreamEntry,
    request: UpstreamRequest,
    attempt: number,
    report: (event: RequestEvent) => void,
  ): UpstreamCall;
  /**
   * Tells whether an upstream has ended, after one of its connections was closed: nothing listens at its address. An
   * upstream that does not respond in time counts as running, since a partition looks the same.
   */
  hasEnded(upstream: UpstreamEntry): Promise<boolean>;
  /** Keeps a connection without a request open to an upstream, until it is closed. */
  watch(upstream: UpstreamEntry): UpstreamWatch;
  /** Closes the connections to an upstream that was removed, after its open requests have ended. */
  removeUpstream(upstreamId: string): void;
}

/** A response that this router generates itself. */
export interface LocalReply {
  readonly status: number;
  readonly reason: string;
  readonly detail: string;
  /** Value of the `verdict` extension member of the RFC 9457 problem details. */
  readonly verdict: string;
  readonly retryAfterMs: number | undefined;
}

/** A caller's request that was read completely, with the means to respond to it. */
export interface CallerExchange {
  readonly head: RequestHead;
  readonly body: Buffer;
  readonly arrivedAtMs: number;
  readonly events: Channel<RequestEvent>;
  /** True once the caller has closed its connection. */
  isDisconnected(): boolean;
  /** Sets the status and headers, which are sent with the first data. */
  start(status: number, headers: readonly string[]): void;
  /** Returns false if the write buffer is full; `onWritable` is then called once it has drained. */
  write(data: Buffer, onWritable: () => void): boolean;
  end(): void;
  /** Closes the connection, so that the response does not appear to be complete. */
  abort(): void;
  sendLocalReply(reply: LocalReply): void;
}
