import type { IncomingMessage } from 'node:http';
import type { PeerError } from '@laburnumshift/types';

/** Longest part of the body that is kept, characters. */
const MAX_DETAIL_LENGTH = 1000;

/** Reads a response whose status is not 200 and converts it to an error. */
export async function readRefusal(response: IncomingMessage): Promise<PeerError> {
  let detail = '';
  for await (const part of response) {
    detail += String(part);
    if (detail.length > MAX_DETAIL_LENGTH) break;
  }
  detail = detail.slice(0, MAX_DETAIL_LENGTH);
  const status = response.statusCode ?? 0;
  if (status === 503 && detail.includes('leaving')) {
    return { kind: 'leaving', detail: 'the server is leaving', sent: true };
  }
  return { kind: 'rejected', status, detail, sent: true };
}
