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
/** Longer than the idle time of common load balancers (60 s), so that the balancer closes first. */
const IDLE_TIMEOUT_MS = 75_000;
const STALL_TIMEOUT_MS = 30_000;
const TIMEOUT_CHECK_MS = 500;
const NOT_READY_RETRY_MS = 1_000;
/**
 * Time in which requests that arrived while the event loop was busy are still read before idle connections are closed;
 * closing at once resets their connections without an answer.
 */
const DRAIN_READ_MS = 100;
const REQUEST_ID = /^[\x21-\x7e]{1,128}$/;

const logger = createLogger('callers');

/** Starts the caller-facing HTTP server of section 4.5 of the design page. */
export async function serveCallers(
  options: CallerServerOptions,
  handlers: CallerHandlers,
): Promise<CallerServer> {
  const counts = { active: 0, requests: 0, refused: 0, dropped: 0, stalled: 0 };
  /** Requests in progress by connection. */
  const busy = new Map<Socket, number>();
  const waiting = new Set<() => void>();
  let draining = false;
  const stallTimeoutMs = options.stallTimeoutMs ?? STALL_TIMEOUT_MS;

  const findRefusal = (id: string | undefined): Refusal | undefined => {
    if (id !== undefined && !REQUEST_ID.test(id)) {
      const message = 'x-request-id is not 1 to 128 visible ASCII characters';
      return createRefusal('bad_request', message, OUTCOMES.notRun);
    }
    if (!draining && handlers.isReady()) return undefined;
    const message = draining ? 'the node is leaving' : 'the node is not ready';
    return createRefusal('not_ready', message, OUTCOMES.notRun, NOT_READY_RETRY_MS);
  };

  const handleRequest = async (
    request: http.IncomingMessage,
    response: http.ServerResponse,
    signal: AbortSignal,
  ): Promise<void> => {
    const id = request.headers['x-request-id']?.toString();
    const requestId = id !== undefined && REQUEST_ID.test(id) ? id : randomUUID();
    const isLook = request.url?.startsWith('/outcome/') === true;
    const refusal = findRefusal(id);
    const config = handlers.getConfig();
    const account = config && authenticateAccount(config, request.headers.authorization, readWallMs());
    if (refusal !== undefined && !(refusal.code === 'not_ready' && isLook && account)) {
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
        named: id !== undefined,
        acceptedAtMs: readMonotonicMs(),
        signal,
        maxBodyBytes: options.limits.maxBodyBytes,
        maxBufferedBytes: options.limits.maxBufferedBytes,
        stallTimeoutMs,
        onStall: () => (counts.stalled += 1),
      });
    } catch (error) {
      logger.error('a request failed inside the node', { requestId, error: String(error) });
      sendRefusal(response, createRefusal('internal', 'internal error', OUTCOMES.unknown), requestId);
    }
  };

  const admitRequest = (request: http.IncomingMessage, response: http.ServerResponse): void => {
    const stopper = new AbortController();
    const { socket } = request;
    counts.requests += 1;
    counts.active += 1;
    busy.set(socket, (busy.get(socket) ?? 0) + 1);
    if (draining) response.shouldKeepAlive = false;
    response.once('close', () => {
      counts.active -= 1;
      const left = (busy.get(socket) ?? 1) - 1;
      if (left > 0) busy.set(socket, left);
      else busy.delete(socket);
      stopper.abort();
      // A stream that began before the drain promised to keep its connection.
      if (draining && left === 0) socket.end();
      if (counts.active === 0) for (const resolve of waiting) resolve();
    });
    void handleRequest(request, response, stopper.signal).finally(() => {
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
    connectionsCheckingInterval: TIMEOUT_CHECK_MS,
  };
  const server =
    options.tls === undefined
      ? http.createServer(serverOptions, admitRequest)
      : https.createServer({ ...serverOptions, ...options.tls, minVersion: 'TLSv1.2' }, admitRequest);
  server.maxConnections = options.limits.maxConnections;
  server.on('drop', () => (counts.dropped += 1));
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
    // Writing into an answer in progress would corrupt it.
    if (busy.has(socket) || !socket.writable || error.code === 'ECONNRESET') socket.destroy();
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
      await sleep(DRAIN_READ_MS);
      server.closeIdleConnections();
      if (counts.active > 0) await new Promise<void>((resolve) => waiting.add(resolve));
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
