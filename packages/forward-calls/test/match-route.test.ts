import { matchRoute, pickService } from '@laburnumshift/forward-calls';
import type { ForwardRoute } from '@laburnumshift/forward-types';
import test from 'ava';

const createRoute = (name: string, hostName: string, pathPrefix: string): ForwardRoute => ({
  name,
  hostName,
  pathPrefix,
  kind: 'idempotent',
  timeoutMs: 1000,
  targetMs: 100,
  priority: 1,
  targets: [
    { service: 'one', weight: 90 },
    { service: 'two', weight: 10 },
  ],
  maxAttempts: 1,
  isPublic: false,
  isResumable: false,
});
const ROUTES = [
  createRoute('short', 'a', '/x/'),
  createRoute('long', 'a', '/x/y/'),
  createRoute('other', 'b', '/'),
];

test('a shorter prefix, another host name or the query string does not select the route', (t) => {
  t.is(matchRoute(ROUTES, 'a', '/x/y/z')?.name, 'long');
  t.is(matchRoute(ROUTES, 'a', '/x/z?p=/x/y/')?.name, 'short');
  t.is(matchRoute(ROUTES, 'b', '/x/y/')?.name, 'other');
  t.is(matchRoute(ROUTES, 'a', '/x'), undefined);
  t.is(matchRoute(ROUTES, 'c', '/x/'), undefined);
});

test('calls are not sent to a target beyond its weight', (t) => {
  const [route] = ROUTES;
  if (route === undefined) throw new Error('no route');
  t.is(pickService(route, 0), 'one');
  t.is(pickService(route, 0.899), 'one');
  t.is(pickService(route, 0.9), 'two');
  t.is(pickService(route, 0.999), 'two');
});
