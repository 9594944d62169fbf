import type { ColdSharing } from './cold-sharing.js';
import type { ServerLimitsOptions } from './server-limits-options.js';

/** Options of `startColdSharing`. */
export interface ColdSharingOptions extends Pick<
  ServerLimitsOptions,
  'self' | 'channel' | 'listPeers' | 'getPlan'
> {
  /** Called with each server that another host knows to be cold. */
  readonly onCold: ColdSharing['sendCold'];
}
