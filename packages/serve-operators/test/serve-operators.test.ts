import { serveOperators, type OperatorHandlers } from '@laburnumshift/serve-operators';
import test from 'ava';

const makeHandlers = (overrides: Partial<OperatorHandlers> = {}): OperatorHandlers => ({
  isHealthy: () => true,
  isReady: () => false,
  readMetrics: () => 'requests 1\n',
  readStatus: () => Promise.resolve({ nodes: [] }),
  explainRequest: () => Promise.resolve([]),
  readOutcome: (account, service, key) => Promise.resolve(account === 'desk' ? { service, key } : undefined),
  drainNode: () => undefined,
  ...overrides,
});

test('guards against operator endpoints without authentication and health checks that require it', async (t) => {
  const drained: boolean[] = [];
  const handlers = makeHandlers({ drainNode: () => drained.push(true) });
  const server = await serveOperators({ listen: '127.0.0.1:0', token: 'operator-token-1', handlers });
  t.teardown(server.close);
  const cases: readonly [string, string, RequestInit, number][] = [
    ['GET', '/healthz', {}, 200],
    ['GET', '/readyz', {}, 503],
    ['GET', '/status', {}, 401],
    ['GET', '/metrics', { headers: { authorization: 'Bearer wrong' } }, 401],
    ['POST', '/drain', {}, 401],
    ['GET', '/nothing', {}, 401],
    ['GET', '/status', { headers: { authorization: 'Bearer operator-token-1' } }, 200],
    ['GET', '/drain', { headers: { authorization: 'Bearer operator-token-1' } }, 404],
    ['POST', '/drain', { headers: { authorization: 'Bearer operator-token-1', origin: 'http://page' } }, 403],
  ];
  for (const [method, path, init, status] of cases) {
    t.is((await fetch(server.url + path, { method, ...init })).status, status, `${method} ${path}`);
  }
  t.is(drained.length, 0);
  const init = { method: 'POST', headers: { authorization: 'Bearer operator-token-1' } };
  t.is((await fetch(`${server.url}/drain`, init)).status, 202);
  t.is(drained.length, 1);
});

test('guards against an outcome returned without a matching account and a handler error that ends the process', async (t) => {
  const handlers = makeHandlers({ readStatus: () => Promise.reject(new Error('broken')) });
  const server = await serveOperators({ listen: '127.0.0.1:0', handlers });
  t.teardown(server.close);
  const fetchStatusCode = async (path: string): Promise<number> => (await fetch(server.url + path)).status;
  t.is(await fetchStatusCode('/status'), 500);
  t.is(await fetchStatusCode('/outcome/booking/k1'), 400);
  t.is(await fetchStatusCode('/outcome/booking/k1?account=other'), 404);
  t.is(await fetchStatusCode('/explain/r1'), 404);
  t.is(await fetchStatusCode('/explain/%E0%A4%A'), 400);
  const response = await fetch(`${server.url}/outcome/booking/k%2F1?account=desk`);
  t.deepEqual(await response.json(), { service: 'booking', key: 'k/1' });
});
