import { createHash, timingSafeEqual } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import type { OperatorResponse } from './operator-response.js';

const LOOPBACK = /^(?:::ffff:)?127\.|^::1$/;

/** Hashes both tokens to one length, which `timingSafeEqual` requires. */
const hashText = (text: string): Buffer => createHash('sha256').update(text).digest();

/**
 * Authenticates a request by its bearer token if `token` is set, and otherwise by its loopback source address. Requests
 * with an `Origin` header are refused, because any web page in an operator's browser could reach the loopback address.
 *
 * @returns a 401 or 403 response if the request is refused, otherwise `undefined`
 */
export function authenticateOperator(
  request: IncomingMessage,
  token: string | undefined,
): OperatorResponse | undefined {
  const refuse = (status: number, message: string): OperatorResponse => ({
    status,
    body: { error: { message } },
  });
  if (request.headers.origin !== undefined) return refuse(403, 'calls from web pages are not served');
  if (token === undefined) {
    return LOOPBACK.test(request.socket.remoteAddress ?? '')
      ? undefined
      : refuse(403, 'without an operator token only loopback callers are served');
  }
  const presentedToken = /^Bearer (.+)$/i.exec(request.headers.authorization ?? '')?.[1] ?? '';
  return timingSafeEqual(hashText(presentedToken), hashText(token))
    ? undefined
    : refuse(401, 'send the operator token: authorization: Bearer TOKEN');
}
