import type { LoadShare } from './load-share.js';
import type { RelayPlan } from './relay-plan.js';

/** What the other hosts told of their work. */
export interface LoadSharing {
  /** Sum over the hosts that were heard lately. */
  readonly getOthers: (server: string) => LoadShare;
  /** Hosts that were heard lately, without this one. */
  readonly countHosts: () => number;
  /** With whom this host shares now. */
  readonly getPlan: () => RelayPlan;
  readonly close: () => void;
}
