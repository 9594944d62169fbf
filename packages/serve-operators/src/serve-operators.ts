import { once } from 'node:events';
import { createServer, type IncomingMessage } from 'node:http';
import type { AddressInfo } from 'node:net';
import { createLogger } from '@laburnumshift/logger';
import { authenticateOperator } from './authenticate-operator.js';
import { createOperatorRoutes } from './create-operator-routes.js';
import type { OperatorResponse } from './operator-response.js';
import type { OperatorServer } from './operator-server.js';
import type { ServeOperatorsOptions } from './serve-operators-options.js';

const MAX_CONNECTIONS = 256;
const MAX_HEADER_BYTES = 16_384;
const REQUEST_TIMEOUT_MS = 10_000;

const logger = createLogger('operators');

/**
 * Starts the HTTP server for operators and the load balancer: `GET /healthz`, `/readyz`, `/metrics`, `/status`,
 * `/explain/ID`, `/outcome/SERVICE/KEY?account=NAME` and `POST /drain`. `/healthz` and `/readyz` require no
 * authentication. All other paths require the bearer token or, if no token is set, a loopback source address.
 *
 * Rejects if the listen address is invalid or cannot be bound.
 */
export async function serveOperators(options: ServeOperatorsOptions): Promise<OperatorServer> {
  const routes = createOperatorRoutes(options.handlers);

  const handleRequest = async (request: IncomingMessage): Promise<OperatorResponse> => {
    const url = new URL(request.url ?? '/', 'http://node');
    const [name = '', ...args] = url.pathname.split('/').filter(Boolean).map(decodeURIComponent);
    const route = routes[`${request.method ?? 'GET'} ${name}`];
    const refusal = route?.isOpen === true ? undefined : authenticateOperator(request, options.token);
    if (refusal !== undefined) return refusal;
    if (route?.argCount !== args.length)
      return { status: 404, body: { error: { message: 'no such endpoint' } } };
    return route.handleCall({ args, query: url.searchParams });
  };

  const server = createServer(
    { maxHeaderSize: MAX_HEADER_BYTES, requestTimeout: REQUEST_TIMEOUT_MS },
    (request, response) => {
      request.resume();
      handleRequest(request)
        .catch((error: unknown): OperatorResponse => {
          if (error instanceof URIError)
            return { status: 400, body: { error: { message: 'the path is malformed' } } };
          logger.error('operator request failed', { error: String(error) });
          return { status: 500, body: { error: { message: 'the call failed; see the log of the node' } } };
        })
        .then(({ status, body }) => {
          const isText = typeof body === 'string';
          response.writeHead(status, { 'content-type': isText ? 'text/plain' : 'application/json' });
          response.end(isText ? body : JSON.stringify(body));
        })
        .catch((error: unknown) => {
          logger.error('could not send the response to an operator', { error: String(error) });
          response.destroy();
        });
    },
  );
  server.maxConnections = MAX_CONNECTIONS;
  const { hostname, port } = new URL(`http://${options.listen}`);
  server.listen({ host: hostname.replace(/^\[|\]$/g, ''), port: Number(port === '' ? 80 : port) });
  await once(server, 'listening');
  const boundPort = (server.address() as AddressInfo).port;

  return {
    url: `http://${hostname}:${String(boundPort)}`,
    close: async () => {
      server.closeAllConnections();
      await new Promise((resolve) => server.close(resolve));
    },
  };
}
