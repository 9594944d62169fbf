import type { MESSAGE_KINDS } from '@laburnumshift/host-channel';

/** Datagram with servers that stated that they are cold, and the rest of that time in milliseconds when it was sent. */
export type ColdMessage = readonly [
  kind: typeof MESSAGE_KINDS.coldServers,
  host: string,
  servers: readonly (readonly [server: string, bornMs: number, coldMs: number])[],
];
