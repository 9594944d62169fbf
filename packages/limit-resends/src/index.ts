/** Resend budget of one host. */
export { createResendBudget } from './create-resend-budget.js';
export type { ResendBudget } from './resend-budget.js';
export type { ResendLimits } from './resend-limits.js';
