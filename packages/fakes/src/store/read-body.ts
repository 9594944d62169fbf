import type { IncomingMessage } from 'node:http';

/** Largest request body that the fakes take. */
const MAX_BODY_BYTES = 16 * 1024 * 1024;

/** Reads the body of a request; rejects when it is too large or the connection breaks. */
export async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size > MAX_BODY_BYTES) throw new Error('request body too large');
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}
