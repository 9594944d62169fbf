import type { MESSAGE_KINDS } from '@laburnumshift/host-channel';
import type { EncodedServerLoad } from './encoded-server-load.js';
import type { EncodedExtras } from './encoded-extras.js';
import type { EncodedNotice } from './encoded-notice.js';
import type { RelayReport } from './relay-report.js';

/** Kinds of messages that contain loads. */
type LoadKind =
  typeof MESSAGE_KINDS.hostLoad | typeof MESSAGE_KINDS.domainLoad | typeof MESSAGE_KINDS.otherHostsLoad;

/**
 * Datagram with loads: message kind, sending host, start time of its process in wall-clock milliseconds, sequence number, failure domain,
 * number of hosts that the loads cover, loads of servers with calls, recent notices of servers, and data for relays,
 * and work and conditions. Hosts of earlier versions omit the last three, and ignore the last one.
 */
export type LoadMessage = readonly [
  kind: LoadKind,
  host: string,
  bornMs: number,
  number: number,
  failureDomain: string,
  hosts: number,
  loads: readonly EncodedServerLoad[],
  notices?: readonly EncodedNotice[],
  report?: RelayReport,
  extras?: EncodedExtras,
];
