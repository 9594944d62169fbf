import type { LoadShare } from './load-share.js';

/** What the other hosts told of their work. */
export interface LoadSharing {
  /** Sum over the hosts that were heard lately. */
  readonly getOthers: (server: string) => LoadShare;
  /** Hosts that were heard lately, without this one. */
  readonly countHosts: () => number;
  readonly close: () => void;
}
