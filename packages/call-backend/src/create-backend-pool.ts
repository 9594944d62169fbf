import http from 'node:http';
import type net from 'node:net';
import { parseAddress } from '@laburnumshift/addresses';
import { watchResponse } from '@laburnumshift/check-http';
import { startTimer } from '@laburnumshift/clock';
import type { EdgeCodec } from '@laburnumshift/forward-types';
import { createLogger } from '@laburnumshift/logger';
import { BackendAgent } from './backend-agent.js';
import type { BackendPool } from './backend-pool.js';
import { createFramingMeter } from './create-framing-meter.js';
import { failUnsentCall } from './fail-unsent-call.js';
import type { SendFailure } from './send-failure.js';
import type { OutgoingCall } from './outgoing-call.js';

/** Timeout of a connection attempt, in milliseconds: many times the latency between failure domains. */
const CONNECT_TIMEOUT_MS = 400;
/** Maximum size of the headers of an answer, in bytes: the default of the Node.js parser. */
const MAX_HEADER_BYTES = 16_384;
/** Timeout from the first byte of the headers to their end, in milliseconds: servers send them in one piece. */
const HEADER_TIMEOUT_MS = 2000;
/** Limits, in bytes and milliseconds, up to which the body of a discarded answer is read in order to reuse the connection. */
const MAX_DISCARD_BYTES = 65_536;
const DISCARD_TIMEOUT_MS = 500;

/**
 * Creates a connection pool. Connections are kept by server process, so a process that takes over the address of another one gets
 * new connections.
 */
export function createBackendPool(codec: EdgeCodec): BackendPool {
  const logger = createLogger('backends');
  const agents = new Map<string, BackendAgent>();

  const getAgent = (backendId: string, maxConnections: number): BackendAgent => {
    const agent = agents.get(backendId) ?? new BackendAgent(maxConnections);
    agent.maxSockets = maxConnections;
    agents.set(backendId, agent);
    return agent;
  };

  return {
    sendCall: (backend, maxConnections, backendCall, body, handlers): OutgoingCall => {
      const { call } = backendCall;
      const framingMeter = createFramingMeter();
      let phase: SendFailure['type'] = 'not-sent';
      let isPending = true;
      let response: http.IncomingMessage | undefined;
      let discardedBytes: number | undefined;
      let stopHeaderTimer = (): void => undefined;
      const headers = codec.encodeCall(backendCall);
      if (body.length > 0 || call.method !== 'GET') headers.push('Content-Length', String(body.length));
      let request: http.ClientRequest;
      try {
        request = http.request({
          ...parseAddress(backend.address),
          method: call.method,
          path: call.target,
          headers,
          agent: getAgent(backend.id, maxConnections),
          maxHeaderSize: MAX_HEADER_BYTES,
          setDefaultHeaders: false,
        } as http.RequestOptions);
      } catch (error) {
        // Node.js throws for an address, a path or a header field that it cannot send.
        logger.error('call cannot be sent', { server: backend.id, request: call.id, detail: String(error) });
        return failUnsentCall(handlers, String(error));
      }
      const fail = (type: SendFailure['type'], reason: string, isEndless = false): void => {
        if (!isPending) return;
        isPending = false;
        request.destroy();
        handlers.onFailure({ type, reason, isEndless });
      };
      /** Limits the bytes outside the answer, which a faulty server may send without end: the parser ignores some of them. */
      const watchReceivedBytes = (socket: net.Socket): void => {
        const bytesReadBefore = socket.bytesRead;
        let headBeginsAt = bytesReadBefore;
        // Complete 1xx responses show that the server is alive, and it may then work for long.
        request.on('information', () => {
          headBeginsAt = socket.bytesRead;
          hasHeaderBytes = false;
          stopHeaderTimer();
        });
        const observeBytes = (): void => {
          framingMeter.setReceivedBytes(socket.bytesRead - bytesReadBefore);
          if (response === undefined && socket.bytesRead > headBeginsAt && !hasHeaderBytes) {
            hasHeaderBytes = true;
            startHeaderTimer();
          }
          if (!framingMeter.isFramingExceeded()) return;
          fail(phase, 'bytes that are no answer', true);
          request.destroy();
        };
        socket.on('data', observeBytes);
        request.once('close', () => {
          socket.off('data', observeBytes);
          stopHeaderTimer();
        });
      };
      let hasHeaderBytes = false;
      const startHeaderTimer = (): void => {
        stopHeaderTimer();
        stopHeaderTimer = startTimer(HEADER_TIMEOUT_MS, () => {
          fail(phase, 'the head of the answer does not end');
        });
      };
      /** Notices a reset that arrives together with the last bytes, which Node.js reports as an orderly end of the connection. */
      const watchReset = (socket: net.Socket): void => {
        const observeEnd = (): void => {
          // A connection that was reset has no peer any more.
          wasReset = socket.remoteAddress === undefined;
        };
        socket.prependListener('end', observeEnd);
        request.once('close', () => {
          socket.off('end', observeEnd);
        });
      };
      let wasReset = false;
      request.on('socket', (socket) => {
        if (!handlers.isSendAllowed()) {
          fail('not-sent', 'the server takes no calls any more');
          return;
        }
        watchReceivedBytes(socket);
        watchReset(socket);
        if (!socket.connecting) {
          // A connection that the system refused to open does not connect either.
          if (!socket.destroyed) phase = 'sent';
          return;
        }
        const stopConnectTimer = startTimer(CONNECT_TIMEOUT_MS, () => {
          if (socket.connecting) fail('not-sent', 'connect timed out');
        });
        socket.once('connect', () => {
          phase = 'sent';
          stopConnectTimer();
        });
        socket.once('close', stopConnectTimer);
      });
      watchResponse(request, (received) => {
        response = received;
        stopHeaderTimer();
        const head = codec.decodeAnswer(received.statusCode ?? 0, received.rawHeaders);
        if (head.callId !== undefined && head.callId !== call.id) {
          fail('foreign', 'the answer has the id of another call');
          return;
        }
        if (head.callId === undefined && request.reusedSocket) {
          fail('foreign', 'the answer has no id and may repeat an earlier one of its connection');
          return;
        }
        phase = 'answering';
        received.on('data', (bytes: Buffer) => {
          framingMeter.addBodyBytes(bytes.length);
          if (isPending) handlers.onBodyBytes(bytes);
          else if (discardedBytes !== undefined) {
            discardedBytes += bytes.length;
            if (discardedBytes > MAX_DISCARD_BYTES) request.destroy();
          }
        });
        received.on('end', () => {
          if (!isPending) return;
          if (!received.complete || wasReset) {
            fail('answering', 'the answer broke off');
            return;
          }
          isPending = false;
          handlers.onEnd();
        });
        received.on('error', (error) => {
          fail('answering', error.message);
        });
        received.on('close', () => {
          fail('answering', 'connection closed');
        });
        handlers.onHeaders(head);
      });
      request.on('error', (error) => {
        fail(phase, error.message);
      });
      request.on('close', () => {
        if (response === undefined) fail(phase, 'connection closed');
      });
      request.end(body);
      return {
        isSent: () => phase !== 'not-sent',
        cancel: () => {
          isPending = false;
          request.destroy();
        },
        discard: () => {
          isPending = false;
          discardedBytes = 0;
          response?.resume();
          const stopDiscardTimer = startTimer(DISCARD_TIMEOUT_MS, () => {
            request.destroy();
          });
          request.once('close', stopDiscardTimer);
        },
        pause: () => {
          response?.pause();
        },
        resume: () => {
          response?.resume();
        },
      };
    },
    countConnections: () => {
      let open = 0;
      let max = 0;
      for (const agent of agents.values()) {
        open += agent.totalSocketCount;
        max += agent.maxSockets;
      }
      return { open, max };
    },
    removeBackend: (id) => {
      agents.get(id)?.closeIdleConnections();
      agents.delete(id);
    },
    closeIdleConnections: () => {
      for (const agent of agents.values()) agent.closeIdleConnections();
      agents.clear();
    },
    close: () => {
      for (const agent of agents.values()) agent.destroy();
      agents.clear();
    },
  };
}
