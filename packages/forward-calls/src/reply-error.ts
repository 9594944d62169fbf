import type { EdgeCodec } from '@laburnumshift/forward-types';
import type { CallerReply } from './caller-reply.js';
import { ERROR_TEXTS } from './error-texts.js';

/** Sends an error response that the host itself creates, with a retry delay unless `retryAfterMs` is `undefined`. */
export function replyError(
  codec: EdgeCodec,
  reply: CallerReply,
  callId: string | undefined,
  status: keyof typeof ERROR_TEXTS,
  retryAfterMs: number | undefined,
): void {
  const body = Buffer.from(`${ERROR_TEXTS[status]}\n`);
  const headers = codec.encodeRefusal(callId, retryAfterMs);
  reply.sendHead(status, [...headers, 'Content-Type', 'text/plain', 'Content-Length', String(body.length)]);
  reply.end(body);
}
