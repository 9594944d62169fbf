import http from 'node:http';
import net from 'node:net';
import { openListener } from '@laburnumshift/addresses';
import { findRequestFault } from '@laburnumshift/check-http';
import { readMonotonicMs, waitForReads } from '@laburnumshift/clock';
import type { ByteReservation } from '@laburnumshift/collect-bytes';
import type { CallDecodeFailure, ForwardCall } from '@laburnumshift/forward-types';
import { createLogger } from '@laburnumshift/logger';
import type { CallerReply } from './caller-reply.js';
import { BODY_REFUSALS } from './body-refusals.js';
import type { TrackedConnection } from '@laburnumshift/limit-connections';
import { CLOSE_REASONS } from '@laburnumshift/limit-connections';
import { createCallerReply } from './create-caller-reply.js';
import { createCloseReport } from './create-close-report.js';
import { createKeptConnections } from './create-kept-connections.js';
import { dropBody } from './drop-body.js';
import type { ForwarderDependencies } from './forwarder-dependencies.js';
import type { ForwardServer } from './forward-server.js';
import { matchCall } from './match-call.js';
import { readBody } from './read-body.js';
import { replyError } from './reply-error.js';
import { runForward } from './run-forward.js';
import { STOPPING_RETRY_AFTER_MS } from './stopping-retry-after-ms.js';

/** Maximum size of the request headers that the parser accepts, in bytes; the configured limit is lower. */
const MAX_HEADER_BYTES = 65_536;
/** Maximum number of connections that wait to be accepted, such as a burst while the process is busy. */
const LISTEN_BACKLOG = 1024;
/** Idle timeout of connections while no configuration is known, in milliseconds. */
const DEFAULT_IDLE_MS = 15_000;
/** Time for which a connection is idle before a stop closes it, in milliseconds: the next request of its caller may be on its way. */
const MIN_IDLE_MS = 200;
/** Time beyond the stated limit after which Node.js closes an idle connection, in milliseconds. */
const IDLE_MARGIN_MS = 1000;
/** Retry-After when the bodies of other requests take all memory for them, in milliseconds: a few calls end in this time. */
const MEMORY_RETRY_AFTER_MS = 1000;
/** Retry-After when there is no room for another call, in milliseconds: many calls end in this time. */
const FULL_RETRY_AFTER_MS = 1000;
/** Maximum size of the body of a refused request that is read while no configuration is known, in bytes. */
const DEFAULT_DISCARD_BYTES = 1_048_576;
/** Starts the HTTP server for callers on `IP:port`. Rejects when the address cannot be bound. */
export async function startForwardServer(
  address: string,
  deps: ForwarderDependencies,
): Promise<ForwardServer> {
  const logger = createLogger('callers');
  const forwardLogger = createLogger('forward');
  const { codec, fleet } = deps;
  const stopController = new AbortController();
  const connections = createKeptConnections();
  const guarded = new WeakMap<net.Socket, TrackedConnection>();
  const closeReport = createCloseReport(deps.metrics, logger);
  let isDraining = false;
  let isListening = true;
  const isStopping = (): boolean => !isListening;
  let inFlight = 0;

  /** Ends a call whose handling threw an error. It may have run, so it gets the status that promises nothing. */
  const failCall = (reply: CallerReply, callId: string | undefined, error: unknown): void => {
    const isCut = reply.isHeadSent();
    const detail = String((error as Error).stack ?? error);
    logger.error('call failed with an internal error', { request: callId, isCut, detail });
    deps.metrics.addToCounter('faults_total', { kind: 'call' });
    if (isCut) reply.abort();
    else replyError(codec, reply, callId, 502, undefined);
  };
  const dropRequestBody = (request: http.IncomingMessage): void => {
    const maxBytes = fleet.getConfig()?.limits.maxBodyBytes ?? DEFAULT_DISCARD_BYTES;
    dropBody(request, maxBytes, deps.observeReadBytes);
  };
  /** Refuses a malformed request, and takes no more requests of its connection, as it is not certain where they begin. */
  const refuseMalformed = (socket: net.Socket, detail: string): void => {
    logger.warn('request could not be parsed', { detail });
    connections.markClosing(socket);
    // Before the answers to the requests before it, the caller would take this for one of them.
    connections.runWhenAnswered(socket, () => {
      if (socket.writable)
        socket.end('HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n');
    });
  };
  const handleCall = async (
    request: http.IncomingMessage,
    reply: CallerReply,
    call: ForwardCall | CallDecodeFailure,
    callerSignal: AbortSignal,
    { bodyMemory, answerMemory }: Record<'bodyMemory' | 'answerMemory', ByteReservation>,
    isAdmitted: boolean,
  ): Promise<void> => {
    const arrivedAtMs = readMonotonicMs();
    const refuse = (
      status: Parameters<typeof replyError>[3],
      reason: string,
      retryAfterMs?: number,
    ): void => {
      const id = 'id' in call ? call.id : undefined;
      dropRequestBody(request);
      replyError(codec, reply, id, status, retryAfterMs);
      deps.metrics.addToCounter('refused_calls_total', { reason });
      const config = fleet.getConfig();
      const fields = { request: id, status, reason, retryAfterMs, config: config?.version };
      logger.warn('call refused', { ...fields, configAgeMs: Math.round(fleet.getConfigAgeMs()) });
    };
    if ('type' in call) {
      refuse(call.status, call.message);
      return;
    }
    if (!isAdmitted) {
      dropRequestBody(request);
      replyError(codec, reply, call.id, 503, FULL_RETRY_AFTER_MS);
      deps.metrics.addToCounter('refused_calls_total', { reason: 'no room for the call' });
      closeReport.recordRefusal();
      return;
    }
    if (isStopping()) {
      refuse(503, 'the host is stopping', STOPPING_RETRY_AFTER_MS);
      return;
    }
    const match = matchCall(deps, call, request.httpVersion);
    const config = fleet.getConfig();
    if (match.kind === 'refused' || config === undefined) {
      if (match.kind === 'refused') refuse(match.status, match.reason, match.retryAfterMs);
      return;
    }
    const { route, account, service } = match;
    deps.resends.recordCall(service.name);
    const body = await readBody(request, config.limits.maxBodyBytes, bodyMemory, deps.observeReadBytes);
    if (body === 'left') return;
    if (typeof body === 'string') {
      const status = BODY_REFUSALS[body];
      refuse(status, `body: ${body}`, status === 503 ? MEMORY_RETRY_AFTER_MS : undefined);
      return;
    }
    // The body may have taken until the host no longer begins calls.
    if (isStopping()) {
      refuse(503, 'the host is stopping', STOPPING_RETRY_AFTER_MS);
      return;
    }
    const timeoutMs = Math.min(route.timeoutMs, call.deadlineMs ?? route.timeoutMs);
    const endsAtMs = arrivedAtMs + timeoutMs;
    const matchedCall = {
      call,
      route,
      service,
      account,
      body,
      reply,
      answerMemory,
      arrivedAtMs,
      endsAtMs,
      callerSignal,
      stopSignal: stopController.signal,
    };
    await runForward(deps, matchedCall, forwardLogger);
  };

  const handleRequest = async (
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> => {
    const callerAbort = new AbortController();
    const { socket } = request;
    const isBehindLast = connections.isClosing(socket);
    const endRequest = connections.beginRequest(socket, request);
    const connection = guarded.get(socket);
    const isAdmitted = connection?.beginCall() ?? true;
    if (isAdmitted && connection !== undefined) request.once('end', connection.markWhole);
    // Node.js states the limit that holds as a request begins, and closes by the one that holds as its response ends.
    const statedIdleMs = server.keepAliveTimeout + IDLE_MARGIN_MS;
    let isCounted = isAdmitted;
    const finishCall = (): void => {
      if (isCounted) connection?.endCall();
      isCounted = false;
    };
    const whenClosed = new Promise<void>((resolve) => {
      const handleClose = (): void => {
        socket.off('close', handleClose);
        if (!response.writableFinished) callerAbort.abort();
        endRequest();
        finishCall();
        if (socket.timeout && socket.timeout < statedIdleMs) socket.setTimeout(statedIdleMs);
        resolve();
      };
      response.on('close', handleClose);
      // A pipelined response that waits for an earlier one does not notice the end of its connection.
      socket.on('close', handleClose);
    });
    const reply = createCallerReply(
      response,
      // An answer that closes the connection would take away those of the pipelined requests after it.
      () => {
        // A connection that closes within an upload is reset, and its caller may not have read the answer.
        const isLast = isDraining && request.complete && connections.countRequests(socket) <= 1;
        if (isLast) connections.markClosing(socket);
        return isLast;
      },
      (bytes) => connection?.setUnreadBytes(bytes),
    );
    if (isBehindLast) {
      // No answer can follow the one that closes the connection, so the call must not run.
      dropRequestBody(request);
      logger.info('call not taken: its connection closes after an earlier answer');
      deps.metrics.addToCounter('refused_calls_total', { reason: 'the connection closes' });
      await whenClosed;
      return;
    }
    const bodyMemory = deps.memory.bodies.openReservation();
    const answerMemory = deps.memory.answers.openReservation();
    let callId: string | undefined;
    try {
      server.keepAliveTimeout = fleet.getConfig()?.limits.idleTimeoutMs ?? DEFAULT_IDLE_MS;
      const call = codec.decodeCall({
        method: request.method ?? '',
        target: request.url ?? '',
        headers: request.rawHeaders,
      });
      if ('id' in call) callId = call.id;
      await handleCall(request, reply, call, callerAbort.signal, { bodyMemory, answerMemory }, isAdmitted);
    } catch (error) {
      failCall(reply, callId, error);
    }
    bodyMemory.close();
    // A stop waits for answers that are still being sent.
    await whenClosed;
    answerMemory.close();
  };

  const server = http.createServer(
    { maxHeaderSize: MAX_HEADER_BYTES, requestTimeout: 0, keepAliveTimeout: DEFAULT_IDLE_MS },
    (request, response) => {
      const fault = connections.isClosing(request.socket) ? undefined : findRequestFault(request);
      if (fault !== undefined) {
        dropRequestBody(request);
        refuseMalformed(request.socket, fault);
        return;
      }
      inFlight += 1;
      handleRequest(request, response)
        .catch((error: unknown) => {
          logger.error('error response failed', { detail: String(error) });
          response.destroy();
        })
        .finally(() => {
          inFlight -= 1;
        });
    },
  );
  server.on('clientError', (error, socket) => {
    // Further bytes of a connection that could not be parsed fail as well.
    if (!(socket instanceof net.Socket) || connections.isClosing(socket)) return;
    refuseMalformed(socket, error.message);
  });
  // Before the listener of Node.js, which reads from the connection.
  server.prependListener('connection', (socket) => {
    const connection = deps.connectionGuard.openConnection((reason) => {
      closeReport.recordClose(reason);
      socket.destroy();
    });
    if (connection === undefined) {
      closeReport.recordClose(CLOSE_REASONS.full);
      socket.destroy();
      return;
    }
    guarded.set(socket, connection);
    socket.once('close', connection.close);
  });
  server.on('connection', connections.recordOpened);
  server.on('timeout', (socket: net.Socket) => {
    const { bytesRead } = socket;
    void waitForReads().then(() => {
      if (socket.bytesRead === bytesRead && connections.countRequests(socket) === 0) socket.destroy();
    });
  });
  await openListener(server, address, LISTEN_BACKLOG);
  logger.info('listening for callers', { address });

  return {
    startDraining: () => {
      isDraining = true;
    },
    countCallsInFlight: () => inFlight,
    stopListening: async () => {
      // The runtime accepts one connection a turn.
      let opened = -1;
      for (let round = 0; round < LISTEN_BACKLOG && opened !== connections.countOpened(); round += 1) {
        opened = connections.countOpened();
        await waitForReads();
      }
      isListening = false;
      // `http.Server` would also close connections on which a request may be on its way.
      net.Server.prototype.close.call(server);
      connections.closeIdle(MIN_IDLE_MS);
    },
    countConnections: connections.countConnections,
    endCalls: () => {
      stopController.abort();
    },
    closeIdleConnections: () => {
      connections.closeIdle(MIN_IDLE_MS);
    },
  };
}
