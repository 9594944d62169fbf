import http from 'node:http';
import { readMonotonicMs, startTimer } from '@laburnumshift/clock';
import type { PeerError, Result } from '@laburnumshift/types';
import type { HttpResponse } from './http-response.js';
import type { HttpPoolOptions } from './http-pool-options.js';
import type { HttpPool } from './http-pool.js';
import { startRequest } from './start-request.js';

function parseBody(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/**
 * Creates a pool of keep-alive connections to one peer. After a timeout the idle connections are closed and the next request
 * uses a new one. The pool retries nothing, because a reset connection may mean that the request itself crashed the peer.
 */
export function createHttpPool(options: HttpPoolOptions): HttpPool {
  const createAgent = (): http.Agent =>
    new http.Agent({ keepAlive: true, maxSockets: options.maxConnections, scheduling: 'lifo' });
  let agent = createAgent();
  const closeIdleConnections = (): void => {
    const old = agent;
    agent = createAgent();
    old.maxFreeSockets = 0;
    for (const sockets of Object.values(old.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  };
  const readResponse: HttpPool['readResponse'] = async (response, timeoutMs) => {
    const timeout = { isOver: false };
    const cancelTimer = startTimer(timeoutMs, () => {
      timeout.isOver = true;
      response.destroy();
    });
    const chunks: Buffer[] = [];
    let size = 0;
    try {
      for await (const chunk of response as AsyncIterable<Buffer>) {
        size += chunk.length;
        if (size > options.maxBodyBytes) {
          return failCall({ kind: 'bad-answer', detail: 'the answer is too large', sent: true });
        }
        chunks.push(chunk);
      }
    } catch (error) {
      if (!timeout.isOver) return failCall({ kind: 'broken', detail: String(error), sent: true });
      closeIdleConnections();
      return failCall({ kind: 'silent', detail: 'the answer stopped', sent: true });
    } finally {
      cancelTimer();
    }
    const body = parseBody(Buffer.concat(chunks).toString());
    return { ok: true, value: { status: response.statusCode ?? 0, headers: response.headers, body } };
  };
  const openResponse: HttpPool['openResponse'] = async (request) => {
    const opened = await startRequest(options.url, agent, request);
    if (!opened.ok && opened.error.kind === 'silent') closeIdleConnections();
    return opened;
  };
  return {
    openResponse,
    readResponse,
    sendRequest: async (request) => {
      const startMs = readMonotonicMs();
      const opened = await openResponse(request);
      if (!opened.ok) return opened;
      return readResponse(opened.value, Math.max(1, request.timeoutMs - (readMonotonicMs() - startMs)));
    },
    closeIdleConnections,
    close: () => {
      agent.destroy();
    },
  };
}

function failCall(error: PeerError): Result<HttpResponse, PeerError> {
  return { ok: false, error };
}
