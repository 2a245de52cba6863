import type { Channel } from '@pimentostall/core';
import type { PromptPart, TokenUsage, UpstreamEntry } from '../types.ts';

/** What the wire codec read from a caller's request. */
export interface RequestHead {
  /** Identity of this arrival; undefined if the caller sent none. */
  readonly requestId: string | undefined;
  readonly method: string;
  /** Path and query as sent. */
  readonly target: string;
  readonly host: string;
  /** How long the caller waits. */
  readonly deadlineMs: number | undefined;
  readonly key: string | undefined;
  readonly usage: TokenUsage | undefined;
  readonly promptParts: readonly PromptPart[];
  /** Id of the last event that the caller has of a stream that it resumes. */
  readonly lastEventId: string | undefined;
  /** Headers that go on to the upstream, as alternating names and values. */
  readonly forwardHeaders: readonly string[];
}

/** One request to one upstream. */
export interface UpstreamRequest {
  readonly head: RequestHead;
  readonly body: Buffer;
  readonly remainingMs: number;
  readonly organisationName: string | undefined;
  /** 0 to 9, 0 first; undefined leaves the upstream's default. */
  readonly priority: number | undefined;
  readonly lastEventId: string | undefined;
}

/** What the wire codec read from an upstream's answer. */
export interface UpstreamResponseHead {
  readonly status: number;
  /** The upstream states that it did not run the request. */
  readonly notExecuted: boolean;
  /** Another upstream has the address now. */
  readonly wrongUpstream: boolean;
  /** The answer names the request that was sent. */
  readonly matchesRequest: boolean;
  /** The answer bears the upstream's signature. */
  readonly signed: boolean;
  /** Headers that go on to the caller, as alternating names and values. */
  readonly forwardHeaders: readonly string[];
}

export enum RequestEventKind {
  /** The request is about to be written to a connection. */
  UpstreamSent = 'upstream-sent',
  UpstreamHead = 'upstream-head',
  UpstreamData = 'upstream-data',
  UpstreamEnd = 'upstream-end',
  UpstreamFailed = 'upstream-failed',
  CallerDisconnected = 'caller-gone',
}

/** `attempt` numbers the attempts of a request, so that events of one that was given up are told apart. */
export type RequestEvent =
  | { readonly kind: RequestEventKind.UpstreamSent; readonly attempt: number }
  | {
      readonly kind: RequestEventKind.UpstreamHead;
      readonly attempt: number;
      readonly head: UpstreamResponseHead;
    }
  | { readonly kind: RequestEventKind.UpstreamData; readonly attempt: number; readonly data: Buffer }
  | { readonly kind: RequestEventKind.UpstreamEnd; readonly attempt: number }
  | { readonly kind: RequestEventKind.UpstreamFailed; readonly attempt: number; readonly detail: string }
  | { readonly kind: RequestEventKind.CallerDisconnected };

/** A request that was sent to an upstream. */
export interface UpstreamCall {
  /** Closes the connection, so that the upstream stops its work. */
  cancel(): void;
  /** Reads the rest of the answer and drops it, so that the connection can be used again. */
  discard(): void;
  pause(): void;
  resume(): void;
}

export interface UpstreamPort {
  open(
    upstream: UpstreamEntry,
    request: UpstreamRequest,
    attempt: number,
    report: (event: RequestEvent) => void,
  ): UpstreamCall;
  /** Closes the kept connections of an upstream that is gone, once its requests have ended. */
  removeUpstream(upstreamId: string): void;
}

/** An answer of this router's own. */
export interface LocalReply {
  readonly status: number;
  readonly reason: string;
  readonly detail: string;
  /** Value for RFC 9457's `verdict` member. */
  readonly verdict: string;
  readonly retryAfterMs: number | undefined;
}

/** A caller's request that was read whole and waits for its answer. */
export interface CallerExchange {
  readonly head: RequestHead;
  readonly body: Buffer;
  readonly arrivedAtMs: number;
  readonly events: Channel<RequestEvent>;
  /** True once the caller has closed its connection. */
  isDisconnected(): boolean;
  /** Sends status and headers with the first data. */
  start(status: number, headers: readonly string[]): void;
  /** Returns false if the caller reads too slowly; `onWritable` is then called once it reads on. */
  write(data: Buffer, onWritable: () => void): boolean;
  end(): void;
  /** Ends the connection, so that the answer does not look complete. */
  abort(): void;
  sendLocalReply(answer: LocalReply): void;
}
