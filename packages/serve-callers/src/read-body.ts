import type { IncomingMessage } from 'node:http';
import type { Result } from '@laburnumshift/types';

/**
 * Reads a request body as UTF-8 text.
 *
 * @returns the text; `too-large` as soon as the declared or received length is over the limit, `cut` when the connection
 *   ends before the body does, `not-utf8` for invalid UTF-8
 */
export async function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Result<string, 'too-large' | 'not-utf8' | 'cut'>> {
  if (Number(request.headers['content-length'] ?? 0) > maxBytes) return { ok: false, error: 'too-large' };
  const chunks: Buffer[] = [];
  let length = 0;
  try {
    // The request is not destroyed on an early return, because the refusal is still sent on this connection.
    for await (const chunk of request.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
      length += chunk.length;
      if (length > maxBytes) return { ok: false, error: 'too-large' };
      chunks.push(chunk);
    }
  } catch {
    return { ok: false, error: 'cut' };
  }
  try {
    return { ok: true, value: new TextDecoder('utf-8', { fatal: true }).decode(Buffer.concat(chunks)) };
  } catch {
    return { ok: false, error: 'not-utf8' };
  }
}
