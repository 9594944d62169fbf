import { request as openRequest, type Agent, type IncomingMessage } from 'node:http';
import { watchResponse } from '@laburnumshift/check-http';
import { startTimer } from '@laburnumshift/clock';
import type { AttemptResult } from './attempt-result.js';
import type { PlatformRequest } from './platform-request.js';

/** Largest response body, bytes; a larger one fails the attempt. A page of a listing holds 1 MB of values plus the names. */
const MAX_ANSWER_BYTES = 8_000_000;

const readBody = async (response: IncomingMessage): Promise<unknown> => {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of response as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size > MAX_ANSWER_BYTES) throw new Error('the response body is too large');
    chunks.push(chunk);
  }
  try {
    return JSON.parse(Buffer.concat(chunks).toString('utf8'));
  } catch {
    return undefined;
  }
};

/** Sends one request and reads its response. Never rejects; a timeout closes the connection. */
export function sendHttpRequest(
  agent: Agent,
  baseUrl: string,
  call: PlatformRequest,
  timeoutMs: number,
  signal: AbortSignal,
): Promise<AttemptResult> {
  return new Promise((resolve) => {
    let sent = false;
    const payload = call.body === undefined ? undefined : JSON.stringify(call.body);
    const request = openRequest(new URL(call.path, baseUrl), {
      method: call.method,
      agent,
      signal,
      headers:
        payload === undefined
          ? {}
          : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(payload) },
    });
    const cancelTimer = startTimer(timeoutMs, () => {
      request.destroy(new Error(`no answer in ${String(timeoutMs)} ms`));
    });
    const finish = (answer: AttemptResult): void => {
      cancelTimer();
      resolve(answer);
    };
    const fail = (error: unknown): void => {
      finish({ kind: 'failed', sent, detail: error instanceof Error ? error.message : String(error) });
    };
    request.on('socket', (socket) => {
      if (!socket.connecting && !socket.destroyed) sent = true;
      else socket.once('connect', () => (sent = true));
    });
    request.on('error', fail);
    watchResponse(request, (response) => {
      const retryAfterMs = Number(response.headers['retry-after-ms'] ?? 0);
      readBody(response).then((body) => {
        finish({
          kind: 'answered',
          status: response.statusCode ?? 0,
          body,
          retryAfterMs: Number.isFinite(retryAfterMs) ? retryAfterMs : 0,
        });
      }, fail);
    });
    request.end(payload);
  });
}
