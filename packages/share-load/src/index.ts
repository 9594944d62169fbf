/** Load of all hosts at each backend server, shared by datagrams. */
export { addShares } from './add-shares.js';
export { createLoadSharing } from './create-load-sharing.js';
export type { HostPeer } from './host-peer.js';
export type { LoadShare } from './load-share.js';
export type { LoadSharing } from './load-sharing.js';
export { NO_LOAD } from './no-load.js';
export type { RelayPlan } from './relay-plan.js';
export type { SharingOptions } from './sharing-options.js';
