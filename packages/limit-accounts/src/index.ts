/** Account limits, divided among the nodes in leased shares. */
export type { AccountLimiter } from './account-limiter.js';
export type { CallAdmission } from './call-admission.js';
export { createAccountLimiter } from './create-account-limiter.js';
export type { AccountLimiterOptions } from './account-limiter-options.js';
export { SHARE_TIMING } from './share-timing.js';
