import type { MESSAGE_KINDS } from '@laburnumshift/host-channel';

/**
 * Datagram of a relay to one host: message kind, sending host, start time of its process in wall-clock milliseconds, sequence number of the
 * last report of the receiver, milliseconds since that report was received, and for each kind of platform objects its name, revision,
 * newest change, age in milliseconds, and milliseconds since an outage ended (null when there was none).
 */
export type StateMessage = readonly [
  kind: typeof MESSAGE_KINDS.objectStates,
  host: string,
  bornMs: number,
  echo: number,
  heldMs: number,
  states: readonly (readonly [
    kind: string,
    revision: number,
    newest: number,
    ageMs: number,
    recoveredMs: number | null,
  ])[],
];
