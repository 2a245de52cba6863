import type { GatewayConfiguration, Organisation, Route } from '../types.ts';

/**
 * Returns the regions in which a request may be executed: the intersection of those of its route and its organisation.
 * Undefined if neither restricts it; an empty set if they have no region in common.
 */
export function allowedRegions(
  route: Pick<Route, 'allowedRegions'>,
  organisation: Pick<Organisation, 'allowedRegions'> | undefined,
): ReadonlySet<string> | undefined {
  const ofOrganisation = organisation?.allowedRegions ?? [];
  return route.allowedRegions.length === 0 && ofOrganisation.length === 0
    ? undefined
    : intersectRegions([route.allowedRegions, ofOrganisation]);
}

/** Returns the intersection of lists of regions, of which empty ones restrict nothing; undefined if all are empty. */
function intersectRegions(lists: readonly (readonly string[])[]): ReadonlySet<string> | undefined {
  const [first, ...others] = lists.filter((regions) => regions.length > 0);
  return first === undefined
    ? undefined
    : new Set(first.filter((region) => others.every((regions) => regions.includes(region))));
}

/**
 * Returns the regions whose routers an entry response for a host may name in addition to those of the caller's region:
 * the regions that all restricted routes of the host allow, or, if there are none, those that any of them allows.
 * Undefined if no route of the host is restricted.
 */
export function entryRegions(
  routes: Iterable<Pick<Route, 'allowedRegions'>>,
): ReadonlySet<string> | undefined {
  const lists = [...routes].map((route) => route.allowedRegions);
  const common = intersectRegions(lists);
  return common?.size === 0 ? new Set(lists.flat()) : common;
}

/** Maximum number of messages about one configuration document. */
const MAX_ISSUES = 50;

/**
 * Returns a message for each route and organisation whose regions contradict each other, and for each region that no zone
 * of the deployment belongs to.
 *
 * @param knownRegions undefined if the regions of the deployment are not known
 */
export function regionIssues(
  { routes, organisations }: Pick<GatewayConfiguration, 'routes' | 'organisations'>,
  knownRegions: ReadonlySet<string> | undefined,
): readonly string[] {
  const restrictedRoutes = routes.filter((route) => route.allowedRegions.length > 0);
  const restrictedOrganisations = [...organisations.values()].filter(
    (organisation) => organisation.allowedRegions.length > 0,
  );
  const issues = [
    ...restrictedRoutes.map((route) => unknownRegionIssue('route', route, knownRegions)),
    ...restrictedOrganisations.map((entry) => unknownRegionIssue('organisation', entry, knownRegions)),
  ].filter((issue) => issue !== undefined);
  for (const route of restrictedRoutes) {
    for (const organisation of restrictedOrganisations) {
      if (allowedRegions(route, organisation)?.size === 0) {
        issues.push(
          `route ${route.name} (${route.allowedRegions.join(', ')}) and organisation ${organisation.name} ` +
            `(${organisation.allowedRegions.join(', ')}) have no allowed region in common; ` +
            'requests of the organisation to the route are refused',
        );
      }
    }
  }
  return issues.length <= MAX_ISSUES
    ? issues
    : [...issues.slice(0, MAX_ISSUES), `${issues.length - MAX_ISSUES} further issues of allowed regions`];
}

function unknownRegionIssue(
  kind: string,
  { name, allowedRegions: regions }: Pick<Route | Organisation, 'name' | 'allowedRegions'>,
  knownRegions: ReadonlySet<string> | undefined,
): string | undefined {
  const unknown = regions.filter((region) => knownRegions?.has(region) === false);
  return unknown.length === 0
    ? undefined
    : `${kind} ${name} allows regions that have no zone in this deployment: ${unknown.join(', ')}`;
}
