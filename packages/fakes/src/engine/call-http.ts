import http from 'node:http';
import { readBody } from '../store/read-body.js';

/** Calls another fake over HTTP and reads the whole answer; rejects on any failure. */
export async function callHttp(
  agent: http.Agent,
  method: string,
  url: string,
  signal: AbortSignal,
  body?: Buffer | object,
  headers: Readonly<Record<string, string>> = {},
): Promise<{ status: number; headers: http.IncomingHttpHeaders; body: Buffer }> {
  const bytes = body === undefined || Buffer.isBuffer(body) ? body : Buffer.from(JSON.stringify(body));
  const response = await new Promise<http.IncomingMessage>((resolve, reject) => {
    const length = { 'content-length': String(bytes?.length ?? 0) };
    const request = http.request(url, { method, agent, signal, headers: { ...headers, ...length } });
    request.on('response', resolve);
    request.on('error', reject);
    request.end(bytes);
  });
  // The signal of the request does not end a body that is being read.
  const stopReading = (): void => {
    response.destroy(new Error('aborted'));
  };
  signal.addEventListener('abort', stopReading);
  try {
    return { status: response.statusCode ?? 0, headers: response.headers, body: await readBody(response) };
  } finally {
    signal.removeEventListener('abort', stopReading);
  }
}
