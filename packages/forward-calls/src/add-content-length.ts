import type { ResponseHead } from '@laburnumshift/forward-types';

const CONTENT_LENGTH = 'content-length';
/** Statuses whose responses have no body. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/**
 * Returns the header fields of a buffered response with the length of its body, which the backend server may have left out or replaced
 * by chunks. Callers of HTTP/1.0 know no chunks.
 *
 * @param bodyBytes length of the whole body, bytes
 * @returns names and values alternating
 */
export function addContentLength(
  head: Pick<ResponseHead, 'status' | 'forwardedHeaders'>,
  method: string,
  bodyBytes: number,
): readonly string[] {
  const { status, forwardedHeaders } = head;
  const hasLength = forwardedHeaders.some(
    (field, index) => index % 2 === 0 && field.toLowerCase() === CONTENT_LENGTH,
  );
  if (hasLength || method === 'HEAD' || BODILESS_STATUSES.has(status)) return forwardedHeaders;
  return [...forwardedHeaders, 'Content-Length', String(bodyBytes)];
}
