import type { MessageKind } from './message-kind.js';
import type { ServerLoad } from './server-load.js';

/** Datagram: kind, sender, its start, rising number, failure domain, hosts that the loads cover, and loads with work. */
export type LoadMessage = readonly [
  kind: MessageKind,
  host: string,
  bornMs: number,
  number: number,
  failureDomain: string,
  hosts: number,
  loads: readonly ServerLoad[],
];
