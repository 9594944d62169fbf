import { HOP_BY_HOP_HEADERS } from '@laburnumshift/types';

/** Names of headers that are not forwarded: hop-by-hop headers and headers that are meant for this system. */
export const UNFORWARDED_HEADERS: ReadonlySet<string> = new Set([
  ...HOP_BY_HOP_HEADERS,
  'authorization',
  'host',
  'x-request-id',
]);
