import { once } from 'node:events';
import { createServer, type IncomingMessage } from 'node:http';
import type { AddressInfo } from 'node:net';
import { createLogger } from '@laburnumshift/logger';
import { authenticateOperator } from './authenticate-operator.js';
import { createOperatorRoutes } from './create-operator-routes.js';
import type { OperatorAnswer } from './operator-answer.js';
import type { OperatorServer } from './operator-server.js';
import type { ServeOperatorsOptions } from './serve-operators-options.js';

const MAX_CONNECTIONS = 256;
const MAX_HEADER_BYTES = 16_384;
const REQUEST_TIMEOUT_MS = 10_000;

const logger = createLogger('operators');

/**
 * Serves operators and the load balancer: `GET /healthz`, `/readyz`, `/metrics`, `/status`, `/explain/ID`,
 * `/outcome/SERVICE/KEY?account=NAME` and `POST /drain`. Health and readiness are open; the rest needs the bearer token,
 * or a loopback address when there is no token.
 */
export async function serveOperators(options: ServeOperatorsOptions): Promise<OperatorServer> {
  const routes = createOperatorRoutes(options.handlers);

  const handleRequest = async (request: IncomingMessage): Promise<OperatorAnswer> => {
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
        .catch((error: unknown): OperatorAnswer => {
          if (error instanceof URIError)
            return { status: 400, body: { error: { message: 'the path is malformed' } } };
          logger.error('an operator call failed', { error: String(error) });
          return { status: 500, body: { error: { message: 'the call failed; see the log of the node' } } };
        })
        .then(({ status, body }) => {
          const isText = typeof body === 'string';
          response.writeHead(status, { 'content-type': isText ? 'text/plain' : 'application/json' });
          response.end(isText ? body : JSON.stringify(body));
        })
        .catch((error: unknown) => {
          logger.error('an answer could not be sent', { error: String(error) });
          response.destroy();
        });
    },
  );
  server.maxConnections = MAX_CONNECTIONS;
  const { hostname, port } = new URL(`http://${options.listen}`);
  server.listen({ host: hostname.replace(/^\[|\]$/g, ''), port: Number(port === '' ? 80 : port) });
  await once(server, 'listening');
  const bound = (server.address() as AddressInfo).port;

  return {
    url: `http://${hostname}:${String(bound)}`,
    close: async () => {
      server.closeAllConnections();
      await new Promise((resolve) => server.close(resolve));
    },
  };
}
