import type { GatewayContext } from '../context.ts';
import { isSharingLoads } from '../engineLoad/engineLoadState.ts';
import { LogLevel } from '../observability/log.ts';
import type { Placement } from '../placement/chooseUpstream.ts';
import { createReach, getOrCreateService } from '../placement/createReach.ts';
import type { RequestReach } from '../placement/requestReach.ts';
import { DISTANCE_NAMES, distanceOf } from '../placement/zoneDistance.ts';
import type { FractionChange } from '../placement/zoneSpill.ts';
import type { AttemptOutcome } from './attemptProgress.ts';
import { AttemptEnd } from './attemptProgress.ts';
import type { ServedRequest } from './servedRequest.ts';

/** Returns how far a request may go; undefined if the deployment has a constant cost of distance. */
export function zoneReachOf(context: GatewayContext, request: ServedRequest): RequestReach | undefined {
  const { board, location, loop, options } = context;
  const { exchange, requestId, service } = request;
  if (options.zoneSpill === undefined) {
    return undefined;
  }
  return createReach({
    state: board.zoneSpill,
    serviceName: service.name,
    requestKey: requestId,
    bodyBytes: exchange.body.length,
    isRetry: request.attempts.length > 0,
    sharesLoads: service.engine !== undefined && isSharingLoads(context),
    routerCount: context.maxRouterCount(),
    location,
    placement: options.placement,
    spill: options.zoneSpill,
    nowMs: loop.nowMs(),
    onChange: (change) => {
      logChange(context, service.name, change);
    },
  });
}

function logChange(
  { log }: GatewayContext,
  serviceName: string,
  { distance, from, to, gainMs }: FractionChange,
): void {
  log(LogLevel.Info, 'fraction of requests that may leave the zone changed', {
    service: serviceName,
    distance: DISTANCE_NAMES[distance],
    from: Number(from.toFixed(2)),
    to: Number(to.toFixed(2)),
    gainMs: Math.round(gainMs),
  });
}

/** Counts an attempt by its distance. */
export function countDistance(
  { location, metrics, options }: GatewayContext,
  { service }: ServedRequest,
  { upstream }: Placement,
): void {
  if (options.zoneSpill !== undefined) {
    const distance = DISTANCE_NAMES[distanceOf(upstream.entry.availabilityZone, location)];
    metrics.count(
      'pimentostall_attempts_by_distance_total',
      `service="${service.name}",distance="${distance}"`,
    );
  }
}

/**
 * Records how long a response took, for the waiting times of zones. Only for services whose loads routers do not share:
 * the time of a stream is that of its first event without the prefill, the time of a plain response that of its end.
 */
export function recordZoneResponse(
  context: GatewayContext,
  { service }: ServedRequest,
  { uncachedTokens, upstream }: Placement,
  { end, sentAtMs, firstEventAtMs }: AttemptOutcome,
): void {
  const { board, loop, options } = context;
  if (options.zoneSpill === undefined || end !== AttemptEnd.Answered || sentAtMs === undefined) {
    return;
  }
  if (service.engine !== undefined && (firstEventAtMs === undefined || isSharingLoads(context))) {
    return;
  }
  const nowMs = loop.nowMs();
  const durationMs = (firstEventAtMs ?? nowMs) - sentAtMs;
  getOrCreateService(board.zoneSpill, service.name, options.zoneSpill).recordResponse(
    upstream.entry.availabilityZone,
    Math.max(0, durationMs - uncachedTokens / options.placement.prefillTokensPerMs),
    nowMs,
  );
}
