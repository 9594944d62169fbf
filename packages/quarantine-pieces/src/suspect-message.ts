import type { MESSAGE_KINDS } from '@laburnumshift/host-channel';

/** A crash as sent: server, start time of its process in wall-clock milliseconds, and age in milliseconds. */
type EncodedCrash = readonly [server: string, bornMs: number, ageMs: number];
/** A suspect as sent: trait, position, crashes, and the ages of its last clearing and its last trial, `null` without any. */
type EncodedSuspect = readonly [
  trait: string,
  position: number,
  crashes: readonly EncodedCrash[],
  clearedAgeMs: number | null,
  trialAgeMs: number | null,
];

/** Message with suspects. Times are sent as ages, because the clocks of hosts differ. */
export type SuspectMessage = readonly [
  kind: typeof MESSAGE_KINDS.crashSuspects,
  host: string,
  suspects: readonly EncodedSuspect[],
];
