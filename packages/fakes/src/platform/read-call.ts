import type { IncomingMessage } from 'node:http';
import type { PlatformCall } from './platform-call.js';

/** Reads the whole request; a body that is not JSON becomes `undefined`. */
export async function readCall(request: IncomingMessage, signal: AbortSignal): Promise<PlatformCall> {
  const url = new URL(request.url ?? '/', 'http://platform');
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  const bytes = Buffer.concat(chunks);
  const parseBody = (): unknown => {
    try {
      return JSON.parse(bytes.toString('utf8'));
    } catch {
      return undefined;
    }
  };
  return {
    method: request.method ?? 'GET',
    path: url.pathname.split('/').filter(Boolean).map(decodeURIComponent),
    query: url.searchParams,
    body: bytes.length === 0 ? undefined : parseBody(),
    size: bytes.length,
    signal,
  };
}
