import http from 'node:http';
import { watchResponse } from '@laburnumshift/check-http';
import { startTimer } from '@laburnumshift/clock';
import type { PeerError, Result } from '@laburnumshift/types';
import type { HttpPoolRequest } from './http-pool-request.js';

/**
 * Sends a request once and resolves when the head of the response has arrived. In an error, `sent` is true when the connection
 * was established, because the peer may then have received the request.
 */
export function startRequest(
  baseUrl: string,
  agent: http.Agent,
  { method, path, body, timeoutMs, progress, signal }: HttpPoolRequest,
): Promise<Result<http.IncomingMessage, PeerError>> {
  return new Promise((resolve) => {
    if (signal?.aborted === true) {
      resolve({ ok: false, error: { kind: 'cancelled', detail: 'before it was sent', sent: false } });
      return;
    }
    const text = body === undefined ? undefined : Buffer.from(JSON.stringify(body));
    const headers = {
      'content-length': String(text?.length ?? 0),
      ...(text === undefined ? {} : { 'content-type': 'application/json' }),
    };
    const request = http.request(`${baseUrl}${path}`, { method, agent, headers });
    let sent = false;
    let response: http.IncomingMessage | undefined;
    let cancelTimer: () => void = () => undefined;
    let cancelDeadline: () => void = () => undefined;
    const finish = (result: Result<http.IncomingMessage, PeerError>): void => {
      cancelTimer();
      cancelDeadline();
      if (!result.ok) {
        signal?.removeEventListener('abort', cancelRequest);
        request.destroy();
      }
      resolve(result);
    };
    const fail = (error: PeerError): void => {
      finish({ ok: false, error });
    };
    const cancelRequest = (): void => {
      if (response === undefined) fail({ kind: 'cancelled', detail: 'by the caller', sent });
      else response.destroy();
    };
    const failTimeout = (ms: number) => () => {
      const detail = `no answer within ${String(Math.round(ms))} ms`;
      fail(sent ? { kind: 'silent', detail, sent } : { kind: 'unreachable', detail, sent });
    };
    cancelTimer = startTimer(timeoutMs, failTimeout(timeoutMs));
    if (progress !== undefined) {
      cancelDeadline = startTimer(progress.deadlineMs, failTimeout(progress.deadlineMs));
      request.on('information', () => {
        cancelTimer();
        cancelTimer = startTimer(progress.pauseTimeoutMs, failTimeout(progress.pauseTimeoutMs));
      });
    }
    signal?.addEventListener('abort', cancelRequest);
    request.on('socket', (socket) => {
      if (socket.connecting) {
        socket.once('connect', () => {
          sent = true;
        });
      } else {
        sent = !socket.destroyed;
      }
    });
    watchResponse(request, (opened) => {
      response = opened;
      opened.on('close', () => signal?.removeEventListener('abort', cancelRequest));
      finish({ ok: true, value: opened });
    });
    request.on('error', (error) => {
      const detail = error.message;
      fail(sent ? { kind: 'broken', detail, sent } : { kind: 'unreachable', detail, sent });
    });
    request.end(text);
  });
}
