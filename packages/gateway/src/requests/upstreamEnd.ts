import type { Task } from '@pimentostall/core';
import { sleepUntil } from '@pimentostall/core';
import type { GatewayContext } from '../context.ts';
import type { UpstreamEntry } from '../types.ts';

/** Longest wait for the register after a stall: a read of it that finds no change, and the pause before it. */
const REGISTER_WAIT_MS = 2_000;
const REGISTER_CHECK_INTERVAL_MS = 20;

/** A response that only the end of its connection delimits. */
export interface CloseDelimitedResponse {
  readonly upstream: UpstreamEntry;
  /** Monotonic time at which its request was sent. */
  readonly sentAtMs: number;
  readonly deadlineAtMs: number;
}

/**
 * Whether such a response may have ended because its upstream did: a process that ends closes its connections in an
 * orderly way, also one that is leaving or no longer registered. Another incarnation may listen at the address by now.
 */
export function* mayHaveEndedWithUpstream(
  context: GatewayContext,
  response: CloseDelimitedResponse,
): Task<boolean> {
  const { loop, upstreamPort } = context;
  return (
    (yield* loop.settled(upstreamPort.hasEnded(response.upstream))) ||
    (yield* isRegisterOutdated(context, response)) ||
    hasRestarted(context, response.upstream)
  );
}

function hasRestarted(
  { board }: GatewayContext,
  { upstreamId, address, startTimeMs }: UpstreamEntry,
): boolean {
  const current = board.upstreams.get(upstreamId)?.entry;
  return current !== undefined && (current.address !== address || current.startTimeMs !== startTimeMs);
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
    yield* sleepUntil(Math.min(untilMs, loop.nowMs() + REGISTER_CHECK_INTERVAL_MS));
  }
  return isOutdated();
}
