import type { OutstandingWork } from '@laburnumshift/track-engines';
import type { ServerLoad } from './server-load.js';
import type { RelayPlan } from './relay-plan.js';

/** Loads that the other hosts have reported. Messages older than 1.5 seconds are ignored. */
export interface LoadSharing {
  /** Returns the load of the other hosts at a server, summed over the current messages. */
  readonly getLoadOfOthers: (server: string) => ServerLoad;
  /** Returns the work that the calls of the other hosts still have to do at a server, as far as their time is known. */
  readonly getWorkOfOthers: (server: string) => OutstandingWork;
  /** Number of other hosts that the sums cover. */
  readonly countCoveredHosts: () => number;
  /** Number of hosts that report to this host, including itself. */
  readonly countReportingHosts: () => number;
  /** Returns the age of the oldest message in the sums, milliseconds; `undefined` without any. */
  readonly getLoadsAgeMs: () => number | undefined;
  /** Returns the current assignment of relays. */
  readonly getPlan: () => RelayPlan;
  /** Excludes a relay that did not answer placement requests, unless a message of it came within the last 500 ms. */
  readonly markRelaySuspect: (host: string) => void;
  readonly close: () => void;
}
