import type { CoveredLoads } from './covered-loads.js';

/** Newest message of one kind from a host. */
export interface ReceivedMessage extends CoveredLoads {
  readonly host: string;
  readonly failureDomain: string;
  /** Time of receipt, monotonic milliseconds. */
  readonly atMs: number;
  /** Start time of the process of the sender, wall-clock milliseconds. */
  readonly bornMs: number;
  /** Sequence number; increases with each message of the process. */
  readonly number: number;
  /** Whether the sender follows this host. */
  readonly isFollower: boolean;
}
