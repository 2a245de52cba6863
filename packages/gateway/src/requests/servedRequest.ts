import type { AttemptRecord } from '@pimentostall/core';
import { verdictOf } from '@pimentostall/core';
import type { LedgerAccount } from '../money/account.ts';
import type { Probe } from '../quarantine/suspectTable.ts';
import type { Route, ServiceDefinition } from '../types.ts';
import { RouteKind } from '../types.ts';
import type { CallerExchange } from './ports.ts';
import type { WayBack } from './wayBack.ts';

/** Tokens that are reserved for a request until it ends. */
export interface Reservation {
  readonly account: LedgerAccount;
  readonly reservedTokens: number;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
}

/** State of an admitted request. */
export interface ServedRequest {
  readonly exchange: CallerExchange;
  readonly requestId: string;
  readonly route: Route;
  readonly service: ServiceDefinition;
  readonly organisationName: string | undefined;
  /** Organisation whose key the request has, also on a route that needs none. */
  readonly keyOwner: string | undefined;
  readonly configurationVersion: number;
  /** Monotonic time of the earlier of the caller's deadline and the route's timeout. */
  readonly deadlineAtMs: number;
  readonly attempts: AttemptRecord[];
  /** Ids of the upstreams that the request was sent to, including those that could not be reached. */
  readonly triedUpstreams: Set<string>;
  /** Number of attempts in which the request was written to a connection. */
  sentCount: number;
  reservation: Reservation | undefined;
  /** True once the status and headers of the response are set; a local reply can then no longer be sent. */
  responseStarted: boolean;
  deliveredEvents: number;
  /** Id of the last event that was delivered to the caller. */
  lastEventId: string | undefined;
  firstDataMs: number | undefined;
  /** True once an engine has ended before it began to answer the request. */
  endedEngine: boolean;
  /** Set while a started stream has been given up for another upstream that has not taken it yet. */
  wayBack: WayBack | undefined;
  /** Set if the request was let through to find out whether a quarantined part still crashes engines. */
  probe: Probe | undefined;
}

/** Returns true if the request can be sent again although it may have been executed. */
export function isRetryable(request: ServedRequest): boolean {
  switch (request.route.kind) {
    case RouteKind.Safe:
      // A partially delivered response cannot be continued with the response of another upstream.
      return !request.responseStarted;
    case RouteKind.Unsafe:
      return false;
    case RouteKind.Streaming:
      return request.route.resumable;
  }
}

export function requestVerdict(request: ServedRequest): ReturnType<typeof verdictOf> {
  return verdictOf(request.attempts);
}
