import { createHash, timingSafeEqual } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import type { OperatorAnswer } from './operator-answer.js';

const LOOPBACK = /^(?:::ffff:)?127\.|^::1$/;

const hashText = (text: string): Buffer => createHash('sha256').update(text).digest();

/**
 * Checks that an operator may call: with the bearer token when there is one, else from a loopback address. Calls that a
 * web page sends are refused, since any page in an operator's browser could reach the loopback address.
 *
 * @returns the refusal, if any
 */
export function authenticateOperator(
  request: IncomingMessage,
  token: string | undefined,
): OperatorAnswer | undefined {
  const refuse = (status: number, message: string): OperatorAnswer => ({
    status,
    body: { error: { message } },
  });
  if (request.headers.origin !== undefined) return refuse(403, 'calls from web pages are not served');
  if (token === undefined) {
    return LOOPBACK.test(request.socket.remoteAddress ?? '')
      ? undefined
      : refuse(403, 'without an operator token only loopback callers are served');
  }
  const given = /^Bearer (.+)$/i.exec(request.headers.authorization ?? '')?.[1] ?? '';
  return timingSafeEqual(hashText(given), hashText(token))
    ? undefined
    : refuse(401, 'send the operator token: authorization: Bearer TOKEN');
}
