import type { PeerHost } from './peer-host.js';
import type { RelayPlan } from './relay-plan.js';

/** Keeps the current assignment of relays and excludes relays that do not answer. */
export interface RelayPlanManager {
  readonly getPlan: () => RelayPlan;
  /** Records that a report was sent to these relays, and excludes those that have not answered earlier reports in time. */
  readonly checkRelays: (relays: readonly PeerHost[]) => void;
  /** Excludes a relay that did not answer placement requests, unless a message of it came within the last 500 ms. */
  readonly markRelaySuspect: (host: string) => void;
  /** Ends the exclusion of a host; called when a message of it was received. */
  readonly clearSuspicion: (host: string) => void;
}
