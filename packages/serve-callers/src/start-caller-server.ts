import { randomUUID } from 'node:crypto';
import http from 'node:http';
import https from 'node:https';
import type { AddressInfo, Socket } from 'node:net';
import { readMonotonicMs, readWallMs, sleep, startTimer } from '@laburnumshift/clock';
import { createRefusal } from '@laburnumshift/errors';
import { createLogger } from '@laburnumshift/logger';
import { OUTCOMES, type Refusal } from '@laburnumshift/types';
import { authenticateAccount } from './authenticate-account.js';
import type { CallerHandlers } from './caller-handlers.js';
import type { CallerServerOptions } from './caller-server-options.js';
import type { CallerServer } from './caller-server.js';
import { refuseConnection } from './refuse-connection.js';
import { routeExchange } from './route-exchange.js';
import { sendRefusal } from './send-refusal.js';

const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 30_000;
/** Longer than the idle timeout of common load balancers (60 s), so that the balancer closes a connection first. */
const IDLE_TIMEOUT_MS = 75_000;
const STALL_TIMEOUT_MS = 30_000;
const TIMEOUT_CHECK_INTERVAL_MS = 500;
const NOT_READY_RETRY_AFTER_MS = 1_000;
/**
 * Time between the start of a drain and the closing of idle connections, in which requests that arrived while the event
 * loop was busy are still read. Closing at once would reset their connections without an answer.
 */
const DRAIN_GRACE_MS = 100;
const REQUEST_ID = /^[\x21-\x7e]{1,128}$/;

const logger = createLogger('callers');

/**
 * Starts the caller-facing HTTP server (section 4.5 of the design page).
 *
 * @throws the error of the socket when the server cannot listen on its address
 */
export async function startCallerServer(
  options: CallerServerOptions,
  handlers: CallerHandlers,
): Promise<CallerServer> {
  const counts = { active: 0, requests: 0, refused: 0, dropped: 0, stalled: 0 };
  /** Number of requests in progress on each connection that has any. */
  const activeRequests = new Map<Socket, number>();
  const drainWaiters = new Set<() => void>();
  let draining = false;
  const stallTimeoutMs = options.stallTimeoutMs ?? STALL_TIMEOUT_MS;

  const checkAdmission = (id: string | undefined): Refusal | undefined => {
    if (id !== undefined && !REQUEST_ID.test(id)) {
      const message = 'x-request-id is not 1 to 128 visible ASCII characters';
      return createRefusal('bad_request', message, OUTCOMES.notRun);
    }
    if (!draining && handlers.isReady()) return undefined;
    const message = draining ? 'the node is leaving' : 'the node is not ready';
    return createRefusal('not_ready', message, OUTCOMES.notRun, NOT_READY_RETRY_AFTER_MS);
  };

  const handleRequest = async (
    request: http.IncomingMessage,
    response: http.ServerResponse,
    signal: AbortSignal,
  ): Promise<void> => {
    const id = request.headers['x-request-id']?.toString();
    const requestId = id !== undefined && REQUEST_ID.test(id) ? id : randomUUID();
    const isOutcomeLookup = request.url?.startsWith('/outcome/') === true;
    const refusal = checkAdmission(id);
    const config = handlers.getConfig();
    const account = config && authenticateAccount(config, request.headers.authorization, readWallMs());
    if (refusal !== undefined && !(refusal.code === 'not_ready' && isOutcomeLookup && account)) {
      counts.refused += 1;
      sendRefusal(response, refusal, requestId);
      return;
    }
    if (account === undefined) {
      counts.refused += 1;
      const message = 'the bearer key is missing or not valid';
      sendRefusal(response, createRefusal('unauthenticated', message, OUTCOMES.notRun), requestId);
      return;
    }
    try {
      await routeExchange({
        request,
        response,
        handlers,
        account,
        requestId,
        hasCallerId: id !== undefined,
        acceptedAtMs: readMonotonicMs(),
        signal,
        maxBodyBytes: options.limits.maxBodyBytes,
        maxBufferedBytes: options.limits.maxBufferedBytes,
        stallTimeoutMs,
        onStalledCaller: () => (counts.stalled += 1),
      });
    } catch (error) {
      logger.error('unexpected error while handling a request', { requestId, error: String(error) });
      sendRefusal(response, createRefusal('internal', 'internal error', OUTCOMES.unknown), requestId);
    }
  };

  const admitRequest = (request: http.IncomingMessage, response: http.ServerResponse): void => {
    const abortController = new AbortController();
    const { socket } = request;
    counts.requests += 1;
    counts.active += 1;
    activeRequests.set(socket, (activeRequests.get(socket) ?? 0) + 1);
    if (draining) response.shouldKeepAlive = false;
    response.once('close', () => {
      counts.active -= 1;
      const left = (activeRequests.get(socket) ?? 1) - 1;
      if (left > 0) activeRequests.set(socket, left);
      else activeRequests.delete(socket);
      abortController.abort();
      // The headers of a response that began before the drain announced that the connection stays open.
      if (draining && left === 0) socket.end();
      if (counts.active === 0) for (const resolve of drainWaiters) resolve();
    });
    void handleRequest(request, response, abortController.signal).finally(() => {
      const cancelTimer = startTimer(stallTimeoutMs, () => {
        counts.stalled += 1;
        response.destroy();
      });
      if (response.closed) cancelTimer();
      else response.once('close', cancelTimer);
    });
  };

  const serverOptions = {
    maxHeaderSize: options.limits.maxHeaderBytes,
    headersTimeout: options.headersTimeoutMs ?? HEADERS_TIMEOUT_MS,
    requestTimeout: options.requestTimeoutMs ?? REQUEST_TIMEOUT_MS,
    keepAliveTimeout: options.idleTimeoutMs ?? IDLE_TIMEOUT_MS,
    connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
  };
  const server =
    options.tls === undefined
      ? http.createServer(serverOptions, admitRequest)
      : https.createServer({ ...serverOptions, ...options.tls, minVersion: 'TLSv1.2' }, admitRequest);
  server.maxConnections = options.limits.maxConnections;
  server.on('drop', () => (counts.dropped += 1));
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
    // An error response written into an answer in progress would corrupt that answer.
    if (activeRequests.has(socket) || !socket.writable || error.code === 'ECONNRESET') socket.destroy();
    else refuseConnection(socket, error.code ?? '');
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(options.port, options.host, resolve);
  });
  const { address, port } = server.address() as AddressInfo;

  return {
    address: `${address}:${String(port)}`,
    drain: async () => {
      draining = true;
      await sleep(DRAIN_GRACE_MS);
      server.closeIdleConnections();
      if (counts.active > 0) await new Promise<void>((resolve) => drainWaiters.add(resolve));
    },
    close: () =>
      new Promise((resolve) => {
        server.close(() => {
          resolve();
        });
        server.closeAllConnections();
      }),
    getCounts: () => ({ ...counts }),
  };
}
