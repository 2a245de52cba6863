import type { Task } from '@pimentostall/core';
import { sleepUntil } from '@pimentostall/core';
import type { GatewayContext } from '../context.ts';
import type { UpstreamEntry } from '../types.ts';
import type { UpstreamCall, UpstreamWatch } from './ports.ts';
import { WatchState } from './ports.ts';

/** Longest wait for the register after a stall: a read of it that finds no change, and the pause before it. */
const REGISTER_WAIT_MS = 2_000;
const CHECK_INTERVAL_MS = 20;

/** Time within which the connections of a process that ends are closed together. */
const CLOSE_TOGETHER_MS = 50;
/** The same if the network loses a packet, which is sent again 200 ms later and then after 400 ms. */
const CLOSE_TOGETHER_LOSSY_MS = 500;
/** Shortest wait after which the sockets have been read once more. */
const SOCKET_READ_MS = 1;
/** Time within which the line break after a response reveals that its connection is closed: lost once, it is sent again. */
const HALF_OPEN_MS = 300;
/** Time within which another response of the upstream shows that its process still runs: a pause between two events. */
const OTHER_RESPONSE_MS = 500;

/** Why a response that only its connection delimits may not be complete. */
export enum EndDoubt {
  /** Another connection to the upstream was closed together with it. */
  ClosedTogether = 'closed-together',
  /** Nothing listens at the address, and no other connection shows that the process still runs. */
  NotListening = 'not-listening',
  /** The deadline came before it was known whether another connection stays open. */
  Deadline = 'deadline',
  /** The register could not be read after a stall in which the upstream may have restarted. */
  RegisterOutdated = 'register-outdated',
  /** The register names a later incarnation. */
  Restarted = 'restarted',
}

/** A response that only the end of its connection delimits. */
export interface CloseDelimitedResponse {
  readonly upstream: UpstreamEntry;
  /** A watch of the upstream since before the end of the response; undefined without one. */
  readonly watch: UpstreamWatch | undefined;
  /** Monotonic time at which its request was sent. */
  readonly sentAtMs: number;
  readonly deadlineAtMs: number;
  /** The connection of the response, which is held open after its end. */
  readonly connection: Pick<UpstreamCall, 'staysHalfOpen'>;
  /** Monotonic time at which another response of the upstream last arrived in part; undefined if there is none. */
  readonly otherDataAtMs: () => number | undefined;
}

/**
 * Tells whether such a response may have ended because its upstream did: a process that ends closes its connections in
 * an orderly way, also one that is leaving or no longer registered. Another incarnation may listen at the address by
 * now, and an upstream that leaves stops listening before its last responses are complete.
 *
 * @returns undefined if the response is complete
 */
export function* findEndDoubt(
  context: GatewayContext,
  response: CloseDelimitedResponse,
): Task<EndDoubt | undefined> {
  const endedAtMs = context.loop.nowMs();
  const processDoubt = yield* findProcessDoubt(context, response);
  if (processDoubt !== undefined && !(yield* isShownToRun(context, response, endedAtMs))) {
    return processDoubt;
  }
  if (yield* isRegisterOutdated(context, response)) {
    return EndDoubt.RegisterOutdated;
  }
  return hasRestarted(context, response) ? EndDoubt.Restarted : undefined;
}

function* findProcessDoubt(
  context: GatewayContext,
  response: CloseDelimitedResponse,
): Task<EndDoubt | undefined> {
  const { loop, upstreamPort } = context;
  const { upstream, watch } = response;
  switch (watch?.state) {
    case WatchState.JustClosed:
      return EndDoubt.ClosedTogether;
    case WatchState.Open:
      return yield* findWatchDoubt(context, response, watch);
    case WatchState.Unavailable:
    case undefined:
      return (yield* loop.settled(upstreamPort.hasEnded(upstream))) ? EndDoubt.NotListening : undefined;
  }
}

/**
 * Looks for other signs that the process outlives the response: an upstream that exits in an orderly way closes its idle
 * connections first, the watch among them, and stops listening.
 */
function* isShownToRun(
  { loop }: GatewayContext,
  { connection, deadlineAtMs, otherDataAtMs }: CloseDelimitedResponse,
  endedAtMs: number,
): Task<boolean> {
  const halfOpenUntilMs = Math.max(endedAtMs + HALF_OPEN_MS, loop.nowMs());
  if (
    halfOpenUntilMs <= deadlineAtMs &&
    (yield* loop.settled(connection.staysHalfOpen(halfOpenUntilMs - loop.nowMs())))
  ) {
    return true;
  }
  const provenAtMs = endedAtMs + CLOSE_TOGETHER_LOSSY_MS;
  const untilMs = Math.min(provenAtMs + OTHER_RESPONSE_MS, deadlineAtMs);
  for (;;) {
    const dataAtMs = otherDataAtMs();
    if (dataAtMs === undefined || loop.nowMs() >= untilMs) {
      return false;
    }
    if (dataAtMs > provenAtMs) {
      return true;
    }
    yield* sleepUntil(Math.min(untilMs, loop.nowMs() + CHECK_INTERVAL_MS));
  }
}

/**
 * Checks that the connection of the watch, which was open before the response ended, stays open. If nothing listens at
 * the address, it takes longer to rule out that the news of its close was lost.
 */
function* findWatchDoubt(
  { loop, upstreamPort }: GatewayContext,
  { upstream, deadlineAtMs }: CloseDelimitedResponse,
  watch: UpstreamWatch,
): Task<EndDoubt | undefined> {
  const endedAtMs = loop.nowMs();
  const hasStoppedListening = yield* loop.settled(upstreamPort.hasEnded(upstream));
  const provenAtMs = endedAtMs + (hasStoppedListening ? CLOSE_TOGETHER_LOSSY_MS : CLOSE_TOGETHER_MS);
  const untilMs = Math.min(provenAtMs, deadlineAtMs);
  while (watch.state === WatchState.Open && loop.nowMs() < untilMs) {
    yield* sleepUntil(Math.min(untilMs, loop.nowMs() + CHECK_INTERVAL_MS));
  }
  // After a pause of the process, timers run before its sockets are read.
  yield* sleepUntil(loop.nowMs() + SOCKET_READ_MS);
  if (watch.state !== WatchState.Open) {
    return EndDoubt.ClosedTogether;
  }
  return loop.nowMs() < provenAtMs ? EndDoubt.Deadline : undefined;
}

/**
 * Whether the register names a later incarnation: at the address, to which a watch may lead, or under the id at another
 * address, which matters only if no connection shows that the process still runs.
 */
function hasRestarted({ board }: GatewayContext, { upstream, watch }: CloseDelimitedResponse): boolean {
  const { upstreamId, address, startTimeMs } = upstream;
  const current = board.upstreams.get(upstreamId)?.entry;
  if (current !== undefined && current.address !== address && watch?.state !== WatchState.Open) {
    return true;
  }
  if (current?.address === address && current.startTimeMs !== startTimeMs) {
    return true;
  }
  return [...board.upstreams.values()].some(
    ({ entry }) => entry.address === address && (entry.startTimeMs ?? -Infinity) > (startTimeMs ?? -Infinity),
  );
}

/**
 * Waits until the register was read after the last stall of the event loop, in which the upstream may have ended and
 * started again. Returns true if that does not happen in time.
 */
function* isRegisterOutdated(
  { board, loop }: GatewayContext,
  { sentAtMs, deadlineAtMs }: CloseDelimitedResponse,
): Task<boolean> {
  const { stalledUntilMs } = loop;
  const isOutdated = (): boolean => sentAtMs < stalledUntilMs && board.registerReadAtMs < stalledUntilMs;
  const untilMs = Math.min(deadlineAtMs, loop.nowMs() + REGISTER_WAIT_MS);
  while (isOutdated() && loop.nowMs() < untilMs) {
    yield* sleepUntil(Math.min(untilMs, loop.nowMs() + CHECK_INTERVAL_MS));
  }
  return isOutdated();
}
