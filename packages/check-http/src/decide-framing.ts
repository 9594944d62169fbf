import type { BodyFraming } from './body-framing.js';
import type { ResponseHeadFields } from './response-head-fields.js';

/** Fifteen digits are exact as a number. */
const LENGTH = /^\d{1,15}$/;
/** Statuses of answers without a body. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** Decides how the body of a final answer ends, by its head and the method of its request (RFC 9112, section 6.3). */
export function decideFraming(method: string, head: ResponseHeadFields): BodyFraming {
  const { lengths, codings } = head;
  const [length] = lengths;
  const [coding] = codings;
  if (lengths.length > 1 || (length !== undefined && !LENGTH.test(length)))
    return { kind: 'fault', fault: 'an invalid length' };
  if (codings.length > 1 || (coding !== undefined && coding.toLowerCase() !== 'chunked'))
    return { kind: 'fault', fault: 'an unknown transfer coding' };
  if (coding !== undefined && (length !== undefined || head.minorVersion === 0))
    return { kind: 'fault', fault: 'a transfer coding beside a length or in HTTP/1.0' };
  if (method === 'HEAD' || BODILESS_STATUSES.has(head.status)) return { kind: 'length', bytes: 0 };
  if (coding !== undefined) return { kind: 'chunks' };
  return length === undefined ? { kind: 'connection' } : { kind: 'length', bytes: Number(length) };
}
