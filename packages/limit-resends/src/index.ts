/** Budget for sending calls again. */
export { computeHomeShare } from './compute-home-share.js';
export { computeHostShare } from './compute-host-share.js';
export { createResendBudget } from './create-resend-budget.js';
export type { ResendBudget } from './resend-budget.js';
export type { ResendLimits } from './resend-limits.js';
export type { ResendShare } from './resend-share.js';
