import type { Route, RoutingConfiguration } from './types.js';

/** Routes of one configuration version, indexed by host and sorted by descending prefix length. */
export class RouteTable {
  private readonly byHost = new Map<string, Route[]>();

  constructor(configuration: RoutingConfiguration) {
    for (const route of configuration.routes) {
      const routes = this.byHost.get(route.host) ?? [];
      routes.push(route);
      this.byHost.set(route.host, routes);
    }
    for (const routes of this.byHost.values()) {
      routes.sort((left, right) => right.prefix.length - left.prefix.length);
    }
  }

  /**
   * Finds the route with the longest matching path prefix.
   *
   * @param hostHeader - `Host` header, with or without a port
   * @param url - Request target, including the query
   * @returns The route, or undefined when none matches
   */
  findRoute(hostHeader: string, url: string): Route | undefined {
    const path = url.split('?', 1)[0] ?? url;
    const routes = this.byHost.get(hostHeader) ?? this.byHost.get(removePort(hostHeader));
    for (const route of routes ?? []) {
      if (path.startsWith(route.prefix)) return route;
    }
    return undefined;
  }
}

function removePort(hostHeader: string): string {
  return hostHeader.replace(/:\d+$/, '').toLowerCase();
}
