/** Work of all hosts at each backend server. */
export type { LoadShare } from './load-share.js';
export type { LoadSharing } from './load-sharing.js';
export { createLoadSharing } from './create-load-sharing.js';
export type { SharingOptions } from './sharing-options.js';
