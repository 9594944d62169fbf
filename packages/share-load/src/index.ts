/** Work of all hosts at each backend server. */
export type { LoadShare } from './load-share.js';
export type { LoadSharing } from './load-sharing.js';
export { shareLoad } from './share-load.js';
export type { SharingOptions } from './sharing-options.js';
