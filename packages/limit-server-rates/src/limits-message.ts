import type { MESSAGE_KINDS } from '@laburnumshift/host-channel';

/**
 * A statement of a server as sent: its id, the start time of its process in wall-clock milliseconds, its service, the limit in calls a
 * second or null for none, and the age of the statement in milliseconds.
 */
type EncodedLimit = readonly [
  server: string,
  bornMs: number,
  service: string,
  limitPerS: number | null,
  ageMs: number,
];

/**
 * Datagram with limits of servers: sending host, whether it places calls, the newest statements, and the rates of its calls by service,
 * calls a second.
 */
export type LimitsMessage = readonly [
  kind: typeof MESSAGE_KINDS.serverLimits,
  host: string,
  isPlacing: boolean,
  limits: readonly EncodedLimit[],
  rates: readonly (readonly [service: string, callsPerS: number])[],
];
