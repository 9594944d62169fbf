import { createHash } from 'node:crypto';
import http from 'node:http';
import type { AccountConfig, Config, RunOutputItem } from '@laburnumshift/types';
import {
  type CallerHandlers,
  type CallerServer,
  type CallerServerOptions,
  startCallerServer,
} from '@laburnumshift/serve-callers';

export const TOKENS: readonly RunOutputItem[] = [
  { kind: 'token', offset: 0, text: 'one ', finishReason: null },
  { kind: 'token', offset: 1, text: 'two', finishReason: 'stop' },
  { kind: 'end', end: { kind: 'finished', reason: 'stop' } },
];

function createAccount(name: string, key: string, period: object = {}): AccountConfig {
  const sha256 = createHash('sha256').update(key).digest('hex');
  const limits = { requestsPerSecond: 1, tokensPerSecond: 1, concurrent: 1 };
  return { name, keys: [{ sha256, ...period }], weight: 1, limits, storeBytes: 0 };
}

const accounts = {
  a: createAccount('a', 'key-a'),
  b: createAccount('b', 'key-b'),
  old: createAccount('old', 'key-old', { notAfter: 1 }),
  next: createAccount('next', 'key-next', { notBefore: 9e15 }),
};

/**
 * Starts a server on a free port. Unless replaced, completions give two tokens, calls give status 201, and no outcome is
 * known.
 */
export async function startServer(
  handlers: Partial<CallerHandlers> = {},
  changes: Partial<CallerServerOptions> = {},
): Promise<CallerServer> {
  const limits = { maxBodyBytes: 4_096, maxHeaderBytes: 4_096, maxConnections: 50, maxBufferedBytes: 65_536 };
  return startCallerServer(
    { host: '127.0.0.1', port: 0, limits, ...changes },
    {
      getConfig: () => ({ accounts }) as unknown as Config,
      isReady: () => true,
      async *runCompletion() {
        for (const item of TOKENS) yield await Promise.resolve(item);
      },
      runCall: () =>
        Promise.resolve({ ok: true, value: { status: 201, headers: { 'x-a': '1' }, body: '{"done":true}' } }),
      findOutcome: () => Promise.resolve({ ok: true, value: { kind: 'absent' } }),
      ...handlers,
    },
  );
}

export interface Answer {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
}

/** Sends one request and reads its answer. A string or buffer is sent unchanged as the body, any other value as JSON. */
export async function sendRequest(
  server: CallerServer,
  path: string,
  body?: unknown,
  headers: http.OutgoingHttpHeaders = {},
  agent?: http.Agent,
): Promise<Answer> {
  const method = body === undefined ? 'GET' : 'POST';
  const allHeaders = { authorization: 'Bearer key-a', ...headers };
  // The path is passed separately, because a URL object would resolve dot segments.
  const { hostname, port } = new URL(`http://${server.address}`);
  const request = http.request({ hostname, port, path, method, headers: allHeaders, agent });
  const isRaw = body === undefined || typeof body === 'string' || Buffer.isBuffer(body);
  request.end(isRaw ? body : JSON.stringify(body));
  return new Promise((resolve, reject) => {
    request.on('error', reject).on('response', (response) => {
      let text = '';
      response.setEncoding('utf8').on('data', (part: string) => (text += part));
      response.on('error', reject).on('end', () => {
        resolve({ status: response.statusCode ?? 0, headers: response.headers, body: text });
      });
    });
  });
}

export const COMPLETION = { service: 's', prompt: 'hello', max_tokens: 5 };
