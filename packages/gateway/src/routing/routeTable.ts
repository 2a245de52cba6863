import type { Route, WeightedService } from '../types.ts';

/** Matches requests to routes by host and longest path prefix. */
export class RouteTable {
  private readonly routesByHost = new Map<string, Map<string, Route>>();

  constructor(routes: readonly Route[]) {
    for (const route of routes) {
      const host = route.hostname.toLowerCase();
      const prefixes = this.routesByHost.get(host) ?? new Map<string, Route>();
      prefixes.set(route.prefix, route);
      this.routesByHost.set(host, prefixes);
    }
  }

  /**
   * Returns the route with the longest prefix of the path among the routes of the host.
   *
   * @param host the `Host` header, with or without a port
   * @param target the request target, including the query
   */
  find(host: string, target: string): Route | undefined {
    const prefixes = this.routesByHost.get(hostnameOf(host));
    if (prefixes === undefined) {
      return undefined;
    }
    const path = pathOf(target);
    // Every prefix ends with a slash, so only substrings of the path that end at a slash can match.
    for (let end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
      const route = prefixes.get(path.slice(0, end + 1));
      if (route !== undefined) {
        return route;
      }
      if (end === 0) {
        break;
      }
    }
    return undefined;
  }

  /** Returns the routes of a host, with or without a port. */
  routesOf(host: string): Iterable<Route> {
    return this.routesByHost.get(hostnameOf(host))?.values() ?? [];
  }
}

function hostnameOf(host: string): string {
  const colon = host.indexOf(':');
  return (colon < 0 ? host : host.slice(0, colon)).toLowerCase();
}

function pathOf(target: string): string {
  const query = target.indexOf('?');
  return query < 0 ? target : target.slice(0, query);
}

/**
 * Chooses one of a route's services at random, in proportion to the weights.
 *
 * @param draw a random number in [0, 1)
 */
export function chooseService(targets: readonly WeightedService[], draw: number): string | undefined {
  const total = targets.reduce((sum, target) => sum + target.weight, 0);
  let remaining = draw * total;
  for (const target of targets) {
    remaining -= target.weight;
    if (remaining < 0) {
      return target.serviceName;
    }
  }
  return targets.at(-1)?.serviceName;
}
