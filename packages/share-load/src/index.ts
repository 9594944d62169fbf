/** Load of all hosts at each backend server, shared by datagrams. */
export { addWork } from './add-work.js';
export { NO_WORK } from './no-work.js';
export { addLoads } from './add-loads.js';
export { chooseRelays } from './choose-relays.js';
export { createLoadSharing } from './create-load-sharing.js';
export type { PeerHost } from './peer-host.js';
export type { ServerLoad } from './server-load.js';
export type { LoadSharing } from './load-sharing.js';
export { ZERO_LOAD } from './zero-load.js';
export type { RelayPlan } from './relay-plan.js';
export type { LoadSharingOptions } from './load-sharing-options.js';
