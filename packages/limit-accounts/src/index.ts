/** Account limits, divided among the nodes in leased shares. */
export type { AccountLimiter } from './account-limiter.js';
export type { CallPermit } from './call-permit.js';
export { createAccountLimiter } from './create-account-limiter.js';
export type { LimiterOptions } from './limiter-options.js';
export { SHARE_TIMES } from './share-times.js';
