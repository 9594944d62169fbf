import type http from 'node:http';

/** Reads the complete request body. Resolves to `too-long` above `maxBytes`, and to `left` when the caller disconnects first. Never rejects. */
export function readBody(
  request: http.IncomingMessage,
  maxBytes: number,
): Promise<Buffer | 'too-long' | 'left'> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let length = 0;
    request.on('data', (chunk: Buffer) => {
      length += chunk.length;
      if (length > maxBytes) resolve('too-long');
      else chunks.push(chunk);
    });
    request.on('end', () => {
      resolve(Buffer.concat(chunks));
    });
    request.on('error', () => {
      resolve('left');
    });
    request.on('close', () => {
      resolve('left');
    });
  });
}
