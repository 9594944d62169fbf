import { CONNECTION_HEADERS } from '@laburnumshift/types';

/** Headers that belong to one connection or to this system and are not passed on. */
export const HOP_HEADERS: ReadonlySet<string> = new Set([
  ...CONNECTION_HEADERS,
  'authorization',
  'host',
  'x-request-id',
]);
