import type { LimitsMessage } from './limits-message.js';

/** The shares of the hosts that place calls, by their calls for a service. */
export interface ShareTable {
  /** Records the rates of another host. */
  readonly addMessage: (message: LimitsMessage) => void;
  /** Starts the time in which hosts that have not been heard of count as if they had as many calls as this one. */
  readonly startLearning: () => void;
  /** Computes this host's share of a limit, from 0 to 1. */
  readonly computeShare: (service: string) => number;
  /** Number of hosts that place calls, this one included. */
  readonly countPlacingHosts: () => number;
}
