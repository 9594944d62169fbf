import type { EdgeCodec } from '@laburnumshift/forward-types';
import type { CallerReply } from './caller-reply.js';
import { REFUSAL_TEXTS } from './refusal-texts.js';

/** Sends an answer that the host makes itself, with the time to come back where one helps. */
export function replyRefusal(
  codec: EdgeCodec,
  reply: CallerReply,
  callId: string | undefined,
  status: keyof typeof REFUSAL_TEXTS,
  retryAfterMs: number | undefined,
): void {
  const body = Buffer.from(`${REFUSAL_TEXTS[status]}\n`);
  const headers = codec.encodeRefusal(callId, retryAfterMs);
  reply.sendHead(
    status,
    [...headers, 'Content-Type', 'text/plain', 'Content-Length', String(body.length)],
    true,
  );
  reply.end(body);
}
