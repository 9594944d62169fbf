import type http from 'node:http';

const TOKEN = /^[!#$%&'*+\-.^_`|~\w]+$/;
const LENGTH = /^\d{1,15}$/;
const VERSIONS: ReadonlySet<string> = new Set(['1.0', '1.1']);

/**
 * Finds what makes the head of a received request ambiguous, so that another parser could see another end of it; `undefined` for a sound
 * head. The parsers of Node.js releases accept different ones.
 */
export function findRequestFault({
  httpVersion,
  rawHeaders,
}: Pick<http.IncomingMessage, 'httpVersion' | 'rawHeaders'>): string | undefined {
  if (!VERSIONS.has(httpVersion)) return 'an unknown version';
  const lengths: string[] = [];
  const codings: string[] = [];
  for (let at = 0; at < rawHeaders.length; at += 2) {
    const name = rawHeaders[at] ?? '';
    const value = rawHeaders[at + 1] ?? '';
    if (!TOKEN.test(name)) return 'an invalid field name';
    const lowerName = name.toLowerCase();
    if (lowerName === 'content-length') lengths.push(value);
    if (lowerName === 'transfer-encoding') codings.push(value);
  }
  if (lengths.length + codings.length > 1) return 'several lengths or transfer codings';
  if (lengths.some((length) => !LENGTH.test(length))) return 'an invalid length';
  if (codings.some((coding) => coding.toLowerCase() !== 'chunked')) return 'an unknown transfer coding';
  if (codings.length > 0 && httpVersion === '1.0') return 'a transfer coding in HTTP/1.0';
  return undefined;
}
