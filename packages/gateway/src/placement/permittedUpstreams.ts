import type { GatewayContext } from '../context.ts';
import { allowedRegions } from '../routing/allowedRegions.ts';
import type { Route } from '../types.ts';
import type { UpstreamView } from './upstreamView.ts';

/** What a request says about where it may be executed. */
export interface RequestOrigin {
  /** Route of the request; a newer configuration may have another one of the same name. */
  readonly route: Route;
  /** Name of the organisation whose key the request has, also on a route that needs none. */
  readonly keyOwner: string | undefined;
  readonly configurationVersion: number;
}

/** The part of the gateway context that placement by zones and regions uses. */
export type PermissionContext = Pick<GatewayContext, 'location'> & {
  readonly board: Pick<GatewayContext['board'], 'configuration' | 'evacuations' | 'upstreams'>;
};

/**
 * Returns the regions in which a request may be executed, undefined if it is not restricted. The newest configuration
 * counts, so that retries and resumes also keep to a restriction that is newer than the request.
 */
export function requestRegions(
  { board }: PermissionContext,
  { route, keyOwner, configurationVersion }: RequestOrigin,
): ReadonlySet<string> | undefined {
  const { configuration } = board;
  const currentRoute =
    configuration === undefined || configuration.version === configurationVersion
      ? route
      : (configuration.routes.find(
          ({ name, hostname, prefix }) =>
            name === route.name && hostname === route.hostname && prefix === route.prefix,
        ) ?? route);
  const organisation = keyOwner === undefined ? undefined : configuration?.organisations.get(keyOwner);
  return allowedRegions(currentRoute, organisation);
}

/** Returns the upstreams that a request may be sent to: those of its regions that are in no evacuated zone. */
export function permittedUpstreams(
  context: PermissionContext,
  origin: RequestOrigin,
): Iterable<UpstreamView> {
  const { evacuations, upstreams } = context.board;
  const regions = requestRegions(context, origin);
  if (regions === undefined && evacuations.zones.size === 0) {
    return upstreams.values();
  }
  return [...upstreams.values()].filter(
    ({ entry }) =>
      !evacuations.zones.has(entry.availabilityZone) && isInRegions(context, regions, entry.availabilityZone),
  );
}

/** How zones and regions limit the upstreams of a service that a request may be sent to. */
export enum ServiceRestriction {
  /** At least one upstream that stays is permitted, or there is none at all. */
  None = 'none',
  /** The route and the organisation have no region in common. */
  NoAllowedRegion = 'no-allowed-region',
  /** All upstreams that stay are in regions that the request does not allow. */
  OtherRegions = 'other-regions',
  /** Those in an allowed region are all in evacuated zones. */
  EvacuatedZones = 'evacuated-zones',
}

/** Tells whether zones or regions leave a request no upstream of a service, and which of them. */
export function serviceRestriction(
  context: PermissionContext,
  origin: RequestOrigin,
  serviceName: string,
  isCandidate: (upstream: UpstreamView) => boolean = () => true,
): ServiceRestriction {
  const { evacuations, upstreams } = context.board;
  const regions = requestRegions(context, origin);
  if (regions?.size === 0) {
    return ServiceRestriction.NoAllowedRegion;
  }
  if (regions === undefined && evacuations.zones.size === 0) {
    return ServiceRestriction.None;
  }
  let restriction = ServiceRestriction.None;
  for (const upstream of upstreams.values()) {
    const { availabilityZone } = upstream.entry;
    if (upstream.entry.serviceName !== serviceName || !upstream.isStaying || !isCandidate(upstream)) {
      continue;
    }
    if (!isInRegions(context, regions, availabilityZone)) {
      restriction = restriction === ServiceRestriction.None ? ServiceRestriction.OtherRegions : restriction;
    } else if (evacuations.zones.has(availabilityZone)) {
      restriction = ServiceRestriction.EvacuatedZones;
    } else {
      return ServiceRestriction.None;
    }
  }
  return restriction;
}

/** The region of an unknown zone is not known, so that no restricted request goes there. */
function isInRegions(
  { location }: PermissionContext,
  regions: ReadonlySet<string> | undefined,
  zone: string,
): boolean {
  const region = location.regionOf(zone);
  return regions === undefined || (region !== undefined && regions.has(region));
}
