import type { IncomingMessage } from 'node:http';
import type { PeerError } from '@laburnumshift/types';

/** Characters of a refusal's body that are kept. */
const MAX_DETAIL = 1000;

/** Turns an answer other than 200 into an error. */
export async function readRefusal(response: IncomingMessage): Promise<PeerError> {
  let detail = '';
  for await (const part of response) {
    detail += String(part);
    if (detail.length > MAX_DETAIL) break;
  }
  detail = detail.slice(0, MAX_DETAIL);
  const status = response.statusCode ?? 0;
  if (status === 503 && detail.includes('leaving')) {
    return { kind: 'leaving', detail: 'the server is leaving', sent: true };
  }
  return { kind: 'rejected', status, detail, sent: true };
}
