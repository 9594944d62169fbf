import { Agent, request as sendRequest, type IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { watchResponse } from '@laburnumshift/check-http';
import { readMonotonicMs, startTimer } from '@laburnumshift/clock';
import type { CallResponse, PeerError, Result } from '@laburnumshift/types';
import type { Connection } from './connection.js';

/** Timeout for establishing the connection; after it the peer counts as unreachable. */
const CONNECT_MS = 1000;
const HOP_BY_HOP = new Set(['connection', 'keep-alive', 'transfer-encoding', 'te', 'trailer', 'upgrade']);

type Answer = Result<CallResponse, PeerError>;

/** Creates a connection, which the first call opens. `maxAnswerBytes` bounds the body of a response. */
export function createConnection(url: string, maxAnswerBytes: number): Connection {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  let answeredMs = -Infinity;
  let socket: Socket | undefined;

  const readAnswer = async (response: IncomingMessage): Promise<Answer> => {
    const parts: Buffer[] = [];
    let bytes = 0;
    for await (const part of response) {
      bytes += (part as Buffer).length;
      if (bytes > maxAnswerBytes) {
        response.destroy();
        const detail = `the answer is over ${String(maxAnswerBytes)} bytes`;
        return { ok: false, error: { kind: 'bad-answer', detail, sent: true } };
      }
      parts.push(part as Buffer);
    }
    if (!response.complete) throw new Error('the response ended before it was complete');
    const headers: Record<string, string> = {};
    for (const [name, value] of Object.entries(response.headers)) {
      if (value !== undefined && !HOP_BY_HOP.has(name)) headers[name] = String(value);
    }
    const body = Buffer.concat(parts).toString('utf8');
    return { ok: true, value: { status: response.statusCode ?? 0, headers, body } };
  };

  return {
    sendCall: (call, timeoutMs, requireOpen) =>
      new Promise((resolve) => {
        // True when a byte of this call may have been sent, which needs an established connection.
        let isSent = false;
        let isDone = false;
        const finish = (answer: Answer): void => {
          if (isDone) return;
          isDone = true;
          cancelTotal();
          cancelConnect();
          if (!answer.ok) request.destroy();
          resolve(answer);
        };
        const fail = (kind: 'silent' | 'broken', detail: string): void => {
          const error: PeerError = isSent
            ? { kind, detail, sent: true }
            : { kind: 'unreachable', detail, sent: false };
          finish({ ok: false, error });
        };
        const headers = {
          ...call.headers,
          ...(call.body === '' ? {} : { 'content-length': String(Buffer.byteLength(call.body)) }),
        };
        const target = new URL(url);
        const request = sendRequest({
          agent,
          host: target.hostname,
          port: target.port,
          method: call.method,
          path: call.path,
          headers,
        });
        const cancelTotal = startTimer(timeoutMs, () => {
          fail('silent', `no answer in ${String(timeoutMs)} ms`);
        });
        const cancelConnect = startTimer(CONNECT_MS, () => {
          if (!isSent) fail('silent', `not connected in ${String(CONNECT_MS)} ms`);
        });
        request.on('socket', (assigned) => {
          if (assigned.connecting) {
            if (requireOpen) {
              finish({
                ok: false,
                error: { kind: 'unreachable', detail: 'the connection was closed', sent: false },
              });
              return;
            }
            socket = assigned;
            assigned.once('connect', () => {
              isSent = true;
            });
          } else isSent = true;
        });
        request.on('error', (error) => {
          fail('broken', error.message);
        });
        watchResponse(request, (response) => {
          readAnswer(response).then(
            (answer) => {
              if (answer.ok) answeredMs = readMonotonicMs();
              finish(answer);
            },
            (error: unknown) => {
              fail('broken', String(error));
            },
          );
        });
        request.end(call.body);
      }),
    getMsSinceResponse: () => readMonotonicMs() - answeredMs,
    isOpen: () => socket !== undefined && !socket.destroyed && socket.writable,
    close: () => {
      agent.destroy();
    },
  };
}
