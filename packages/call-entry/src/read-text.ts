import type { IncomingMessage } from 'node:http';

/** Reads a whole body as UTF-8; rejects when it is incomplete. */
export async function readText(response: IncomingMessage): Promise<string> {
  const parts: Buffer[] = [];
  for await (const part of response) parts.push(part as Buffer);
  if (!response.complete) throw new Error('the answer ended early');
  return Buffer.concat(parts).toString('utf8');
}
