import type { AttemptRecord } from '@pimentostall/core';
import { verdictOf } from '@pimentostall/core';
import type { LedgerAccount } from '../money/ledgerController.ts';
import type { Route, ServiceDefinition } from '../types.ts';
import { RouteKind } from '../types.ts';
import type { CallerExchange } from './ports.ts';

/** Tokens held for a request until it ends. */
export interface Reservation {
  readonly account: LedgerAccount;
  readonly reservedTokens: number;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
}

/** A request between its arrival and its answer. */
export interface ServedRequest {
  readonly exchange: CallerExchange;
  readonly requestId: string;
  readonly route: Route;
  readonly service: ServiceDefinition;
  readonly organisationName: string | undefined;
  readonly configurationVersion: number;
  /** Monotonic time at which the caller or the route gives up. */
  readonly deadlineAtMs: number;
  readonly attempts: AttemptRecord[];
  /** Upstreams that a request was written to, or that could not be reached. */
  readonly triedUpstreams: Set<string>;
  /** Requests written to upstreams. */
  sentCount: number;
  reservation: Reservation | undefined;
  /** Status and headers have gone to the caller. */
  started: boolean;
  deliveredEvents: number;
  /** Id of the last event that the caller has. */
  lastEventId: string | undefined;
  firstDataMs: number | undefined;
}

/** True if the request may be sent again after it may have run. */
export function isRepeatable(request: ServedRequest): boolean {
  switch (request.route.kind) {
    case RouteKind.Safe:
      // A part that the caller has cannot be joined with the answer of another upstream.
      return !request.started;
    case RouteKind.Unsafe:
      return false;
    case RouteKind.Streaming:
      return request.route.resumable;
  }
}

export function requestVerdict(request: ServedRequest): ReturnType<typeof verdictOf> {
  return verdictOf(request.attempts);
}
