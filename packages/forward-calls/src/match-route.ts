import type { ForwardRoute } from '@laburnumshift/forward-types';

/** Finds the route with the longest path prefix among those of a host name; `undefined` when none matches. */
export function matchRoute(
  routes: readonly ForwardRoute[],
  hostName: string,
  target: string,
): ForwardRoute | undefined {
  const path = target.split('?', 1)[0] ?? '';
  const matching = routes.filter((route) => route.hostName === hostName && path.startsWith(route.pathPrefix));
  return matching.reduce<ForwardRoute | undefined>(
    (best, route) => (best === undefined || route.pathPrefix.length > best.pathPrefix.length ? route : best),
    undefined,
  );
}
