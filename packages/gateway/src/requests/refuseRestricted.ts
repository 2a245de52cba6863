import { Verdict } from '@pimentostall/core';
import type { GatewayContext } from '../context.ts';
import { requestRegions, ServiceRestriction, serviceRestriction } from '../placement/permittedUpstreams.ts';
import { LocalReplyReason } from './localReplies.ts';
import type { ServedRequest } from './servedRequest.ts';
import { requestVerdict } from './servedRequest.ts';

/** Why a request is refused because of zones or regions. */
export interface RestrictedRefusal {
  readonly reason: LocalReplyReason;
  readonly detail: string;
  /** Additional fields of the log entry. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/**
 * Returns why evacuated zones or allowed regions leave a request no upstream; undefined if they leave some. Attempts that
 * were sent explain the end of a request better, so that such a request is not refused for a restriction.
 */
export function refuseRestricted(
  context: GatewayContext,
  request: ServedRequest,
): RestrictedRefusal | undefined {
  if (requestVerdict(request) !== Verdict.DidNotRun) {
    return undefined;
  }
  const { board, metrics } = context;
  const restriction = serviceRestriction(
    context,
    request,
    request.service.name,
    ({ entry }) =>
      !request.triedUpstreams.has(entry.upstreamId) || board.evacuations.zones.has(entry.availabilityZone),
  );
  if (restriction === ServiceRestriction.None) {
    return undefined;
  }
  const regions = requestRegions(context, request);
  const fields = {
    ...(regions === undefined ? {} : { allowedRegions: [...regions] }),
    ...(board.evacuations.zones.size === 0 ? {} : { evacuatedZones: [...board.evacuations.zones] }),
  };
  switch (restriction) {
    case ServiceRestriction.NoAllowedRegion:
      metrics.count('pimentostall_requests_refused_by_region_total', 'reason="no-common-region"');
      return {
        reason: LocalReplyReason.NoAllowedRegion,
        detail: 'route and organisation have no allowed region in common',
        fields,
      };
    case ServiceRestriction.OtherRegions:
      if (request.attempts.length > 0) {
        // Those in an allowed region could not be reached.
        return undefined;
      }
      metrics.count('pimentostall_requests_refused_by_region_total', 'reason="no-upstream-in-region"');
      return {
        reason: LocalReplyReason.NoUpstream,
        detail: 'no upstream of the service is in an allowed region',
        fields,
      };
    case ServiceRestriction.EvacuatedZones:
      metrics.count('pimentostall_requests_refused_by_evacuation_total');
      return {
        reason: LocalReplyReason.ZonesEvacuated,
        detail: 'the other upstreams are in evacuated zones',
        fields,
      };
  }
}
