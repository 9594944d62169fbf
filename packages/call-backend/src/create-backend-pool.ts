import http from 'node:http';
import { splitAddress } from '@laburnumshift/addresses';
import { startTimer } from '@laburnumshift/clock';
import type { EdgeCodec } from '@laburnumshift/forward-types';
import { BackendAgent } from './backend-agent.js';
import type { BackendPool } from './backend-pool.js';
import type { SendFault } from './send-fault.js';
import type { SentCall } from './sent-call.js';

/** A new connection is given up after this, milliseconds: many times a way between failure domains. */
const CONNECT_MS = 400;

/** Creates the pool. Each server process has connections of its own, so an address that is used again starts afresh. */
export function createBackendPool(codec: EdgeCodec): BackendPool {
  const agents = new Map<string, BackendAgent>();

  const getAgent = (key: string, maxConnections: number): BackendAgent => {
    const agent = agents.get(key) ?? new BackendAgent(maxConnections);
    agent.maxSockets = maxConnections;
    agents.set(key, agent);
    return agent;
  };

  return {
    sendCall: (backend, maxConnections, backendCall, body, handlers): SentCall => {
      const { call } = backendCall;
      let phase: SendFault['type'] = 'not-sent';
      let isOpen = true;
      let response: http.IncomingMessage | undefined;
      const headers = codec.encodeCall(backendCall);
      if (body.length > 0 || call.method !== 'GET') headers.push('Content-Length', String(body.length));
      const request = http.request({
        ...splitAddress(backend.address),
        method: call.method,
        path: call.target,
        headers,
        agent: getAgent(backend.id, maxConnections),
        setDefaultHeaders: false,
      } as http.RequestOptions);
      const fail = (type: SendFault['type'], reason: string): void => {
        if (!isOpen) return;
        isOpen = false;
        request.destroy();
        handlers.onFault({ type, reason });
      };
      request.on('socket', (socket) => {
        if (!socket.connecting) {
          phase = 'sent';
          return;
        }
        const stopTimer = startTimer(CONNECT_MS, () => {
          if (socket.connecting) fail('not-sent', 'connect timed out');
        });
        socket.once('connect', () => {
          phase = 'sent';
          stopTimer();
        });
        socket.once('close', stopTimer);
      });
      request.on('response', (received) => {
        response = received;
        const head = codec.decodeAnswer(received.statusCode ?? 0, received.rawHeaders);
        if (head.callId !== undefined && head.callId !== call.id) {
          fail('foreign', 'the answer has the id of another call');
          return;
        }
        phase = 'answering';
        received.on('data', (bytes: Buffer) => {
          if (isOpen) handlers.onBytes(bytes);
        });
        received.on('end', () => {
          if (!isOpen) return;
          if (!received.complete) {
            fail('answering', 'the answer broke off');
            return;
          }
          isOpen = false;
          handlers.onEnd();
        });
        received.on('error', (error) => {
          fail('answering', error.message);
        });
        received.on('close', () => {
          fail('answering', 'connection closed');
        });
        handlers.onHead(head);
      });
      request.on('error', (error) => {
        fail(phase, error.message);
      });
      request.on('close', () => {
        if (response === undefined) fail(phase, 'connection closed');
      });
      request.end(body);
      return {
        cancel: () => {
          isOpen = false;
          request.destroy();
        },
        pause: () => {
          response?.pause();
        },
        resume: () => {
          response?.resume();
        },
      };
    },
    dropBackend: (id) => {
      agents.get(id)?.closeIdle();
      agents.delete(id);
    },
    closeIdle: () => {
      for (const agent of agents.values()) agent.closeIdle();
      agents.clear();
    },
    close: () => {
      for (const agent of agents.values()) agent.destroy();
      agents.clear();
    },
  };
}
